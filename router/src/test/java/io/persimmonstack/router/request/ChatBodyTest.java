package io.persimmonstack.router.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies that are read in another way than an engine reads them, now that no tree is made of them. */
class ChatBodyTest {
    private static final int MANY = 1_000;

    private static ChatBody parse(String json) throws RefusalException {
        return ChatBody.parse(json.getBytes(StandardCharsets.UTF_8));
    }

    private static String prompt(String messages) {
        return "{\"model\":\"deed\",\"messages\":[" + messages + "]}";
    }

    @Test
    void onlyTheModelIsReplaced() throws RefusalException {
        String json = "{ \"user\": \"\u00fc\", \"n\": 1.50,\n \"model\" : \"d\\u0065ed\", \"messages\": [ {} ] }";
        ChatBody body = parse(json);
        assertEquals("deed", body.model().text());
        assertEquals(
                json.replace("\"d\\u0065ed\"", "\"deed@v1+a\\\"b\""),
                new String(body.withModel("deed@v1+a\"b"), StandardCharsets.UTF_8));
    }

    @Test
    void streamIsReadWhereverItStands() throws RefusalException {
        assertTrue(parse("{\"stream\":true,\"messages\":[],\"model\":\"deed\"}").stream());
        assertTrue(!parse("{\"stream\":null,\"messages\":[],\"model\":\"deed\"}").stream());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"model\":\"deed\",\"messages\":[]} x",
                "{\"model\":\"deed\",\"messages\":[]}{}",
                "{\"model\":\"deed\",\"messages\":[],\"model\":\"lease\"}",
                "{\"model\":\"deed\",\"messages\":[],\"mod\\u0065l\":\"lease\"}",
                "{\"model\":\"deed\",\"messages\":[],\"messages\":[]}",
                "{\"model\":\"deed\",\"messages\":[],\"stream\":1}",
                "{\"model\":\"deed\",\"messages\":{}}",
                "{\"model\":7,\"messages\":[]}",
                "{\"model\":\"\",\"messages\":[]}",
                "{\"messages\":[]}",
                "{\"model\":\"deed\"}"
            })
    void malformedBodiesAreRefused(String json) {
        RefusalException refused = assertThrows(RefusalException.class, () -> parse(json));
        assertEquals(RefusalCode.MALFORMED, refused.refusal().code());
    }

    @Test
    void otherEncodingsAreRefused() {
        byte[] body = prompt("{}").getBytes(StandardCharsets.UTF_16);
        assertThrows(RefusalException.class, () -> ChatBody.parse(body));
    }

    @Test
    void longNamesOfModelsAreRefusedWithoutThem() {
        RefusalException refused = assertThrows(
                RefusalException.class, () -> parse("{\"model\":\"" + "x".repeat(MANY * MANY) + "\",\"messages\":[]}"));
        assertTrue(refused.refusal().detail().length() < MANY);
    }

    @Test
    void partsAreTheMessagesButTheLastWithoutRegardToSpace() throws RefusalException {
        ChatBody body = parse(prompt("{\"content\":\"a b\"},{\"content\":\"c\"},{\"content\":\"own\"}"));
        assertEquals(2, body.promptParts().size());
        assertEquals(
                body.promptParts(),
                parse(prompt(" {\"content\": \"a b\" }, {\"content\":\"c\"} ,\n{\"content\":\"other\"}"))
                        .promptParts());
        assertNotEquals(
                body.promptParts(),
                parse(prompt("{\"content\":\"ab\"},{\"content\":\"c\"},{}")).promptParts());
    }

    @Test
    void manyMessagesHaveABoundedNumberOfParts() throws RefusalException {
        assertEquals(
                ChatBodyReader.MAX_PARTS,
                parse(prompt("{},".repeat(MANY) + "{}")).promptParts().size());
        assertEquals(0, parse(prompt("")).promptParts().size());
    }

    @Test
    void promptsWithTheSameStartHaveTheSamePrefix() throws RefusalException {
        String start = "x".repeat(300);
        ChatBody body = parse(prompt("{\"role\":\"s\",\"content\":\"" + start + "\"},{\"content\":\"1\"}"));
        assertEquals(
                body.prefixHash(),
                parse(prompt("{\"content\":\"" + start + "y\"}")).prefixHash());
        assertNotEquals(
                body.prefixHash(),
                parse(prompt("{\"content\":\"y" + start + "\"}")).prefixHash());
        assertNotEquals(
                parse(prompt("{\"content\":[1,2]}")).prefixHash(),
                parse(prompt("{\"content\":[1,3]}")).prefixHash());
    }
}
