package io.persimmonstack.runtime.settings;

import java.lang.annotation.Documented;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Bounds, fallback and form of a settings key; annotates a record component. */
@Documented
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {
    /** Smallest number allowed; for a list, the fewest elements allowed. */
    long min() default Long.MIN_VALUE;

    /** Largest number allowed; for a list, the most elements allowed. */
    long max() default Long.MAX_VALUE;

    /** Value used where the key is absent, as JSON. Empty makes the key required. */
    String fallback() default "";

    /** Required form of a text value or list element: {@code "ip"}, {@code "ip:port"}, or empty for any text. */
    String form() default "";
}
