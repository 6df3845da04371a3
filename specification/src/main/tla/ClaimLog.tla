------------------------------ MODULE ClaimLog ------------------------------
(* Claim log of one shard, which grants each key of non-idempotent requests  *)
(* to one request. Models writers that may pause between any two steps,      *)
(* segment creations whose reply is lost and that may take effect at any     *)
(* later time, and segments deleted by retention.                            *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
  Writers,    \* nodes that write the shard
  Rivals,     \* requests with the same key
  Refusable,  \* rivals whose caller may be told that the request did not run
  Others,     \* requests with distinct keys, which fill segments
  MaxNumber,  \* highest segment number
  MaxLost,    \* maximum number of creations without a reply that may still take effect
  Mutant      \* name of the guard to disable, or "none"

Requests == Rivals \cup Others
Numbers == 1..MaxNumber
None == [writer |-> "none", request |-> "none"]
Symmetry == Permutations(Writers) \cup Permutations(Rivals)
Guard(name, condition) == Mutant = name \/ condition
SameKey(a, b) == a = b \/ (a \in Rivals /\ b \in Rivals)

VARIABLES
  segment,   \* number -> batch stored under the number, or None
  floor,     \* lowest number that retention has not deleted
  floating,  \* creations without a reply that may still take effect
  writer,    \* writer -> its view of the log and its current step
  answered,  \* requests whose claim was granted; the answer may still be in flight
  expired,   \* requests whose deadline has passed
  refused,   \* requests whose caller was told that they did not run
  ran        \* requests that were sent to a target

vars == <<segment, floor, floating, writer, answered, expired, refused, ran>>

Batch(w, q) == [writer |-> w, request |-> q]
Existing == {n \in Numbers : segment[n] # None}
Live == {n \in Existing : n >= floor}
NextNumber == LET known == {n + 1 : n \in Live} \cup {floor}
              IN CHOOSE n \in known : \A other \in known : n >= other

(* State of a writer that has read the floor and all segments. *)
Loaded == [next |-> NextNumber, taken |-> {segment[n].request : n \in Live}, step |-> "idle", request |-> "none"]

Init ==
  /\ segment = [n \in Numbers |-> None]
  /\ floor = 1
  /\ floating = {}
  /\ writer = [w \in Writers |-> [next |-> 1, taken |-> {}, step |-> "idle", request |-> "none"]]
  /\ answered = {} /\ expired = {} /\ refused = {} /\ ran = {}

(* ------------------------------ writers ------------------------------ *)

(* A writer starts or restarts; its earlier creations may still take effect. *)
Load(w) ==
  /\ writer' = [writer EXCEPT ![w] = Loaded]
  /\ UNCHANGED <<segment, floor, floating, answered, expired, refused, ran>>

AnswerFromMemory(w, q) ==
  /\ writer[w].step = "idle"
  /\ q \in writer[w].taken /\ q \in Rivals \ answered
  /\ answered' = answered \cup {q}
  /\ UNCHANGED <<segment, floor, floating, writer, expired, refused, ran>>

(* The writer may try to record the request, either for the first time or again after a lost reply. *)
MayCreate(w, q) ==
  /\ writer[w].next \in Numbers
  /\ \/ /\ writer[w].step = "idle" /\ q \notin answered
        /\ Guard("IgnoreTaken", \A t \in writer[w].taken : ~SameKey(t, q))
     \/ writer[w].step = "retry" /\ writer[w].request = q

InStep(w, step, q) == writer' = [writer EXCEPT ![w].step = step, ![w].request = q]

Learn(w, q) == writer' = [writer EXCEPT ![w] = [
  next |-> @.next + 1, taken |-> @.taken \cup {q}, step |-> "idle", request |-> "none"]]

(* Creates a segment under an unused number and receives the reply. *)
Create(w, q) ==
  LET n == writer[w].next IN
  /\ MayCreate(w, q)
  /\ Guard("Overwrite", segment[n] = None)
  /\ segment' = [segment EXCEPT ![n] = Batch(w, q)]
  /\ InStep(w, "confirm", q)
  /\ UNCHANGED <<floor, floating, answered, expired, refused, ran>>

(* Sends a creation whose reply is lost; it may take effect now, later or never. *)
LoseReply(w, q) ==
  /\ MayCreate(w, q) /\ writer[w].step = "idle"
  /\ Cardinality(floating) < MaxLost
  /\ floating' = floating \cup {[number |-> writer[w].next, batch |-> Batch(w, q)]}
  /\ InStep(w, "retry", q)
  /\ UNCHANGED <<segment, floor, answered, expired, refused, ran>>

TakeEffectLate(f) ==
  /\ segment[f.number] = None
  /\ segment' = [segment EXCEPT ![f.number] = f.batch]
  /\ floating' = floating \ {f}
  /\ UNCHANGED <<floor, writer, answered, expired, refused, ran>>

(* The number already exists: from an earlier creation by this writer whose reply was lost, or from another writer. *)
FindOwn(w, q) ==
  /\ MayCreate(w, q) /\ segment[writer[w].next] = Batch(w, q)
  /\ InStep(w, "confirm", q)
  /\ UNCHANGED <<segment, floor, floating, answered, expired, refused, ran>>

FindOther(w, q) ==
  LET found == segment[writer[w].next] IN
  /\ MayCreate(w, q) /\ found # None /\ found # Batch(w, q)
  /\ IF Guard("TrustDeletedNumber", floor <= writer[w].next)
     THEN Learn(w, found.request)
     ELSE writer' = [writer EXCEPT ![w] = Loaded]
  /\ UNCHANGED <<segment, floor, floating, answered, expired, refused, ran>>

(* Reads the floor, which must happen after the creation is known to have taken effect. *)
Confirm(w) ==
  /\ writer[w].step = "confirm"
  /\ IF Guard("SkipFloor", floor <= writer[w].next)
     THEN /\ answered' = answered \cup ({writer[w].request} \cap Rivals)
          /\ Learn(w, writer[w].request)
     ELSE /\ writer' = [writer EXCEPT ![w] = Loaded]
          /\ UNCHANGED answered
  /\ UNCHANGED <<segment, floor, floating, expired, refused, ran>>

(* ----------------------------- retention ----------------------------- *)

(* Retention is far longer than any deadline, so every request that could still run under the key has expired. *)
RaiseFloor ==
  /\ floor \in Live
  /\ \A q \in Requests : SameKey(q, segment[floor].request) => q \in expired
  /\ floor' = floor + 1
  /\ UNCHANGED <<segment, floating, writer, answered, expired, refused, ran>>

Delete(n) ==
  /\ n \in Existing /\ n < floor
  /\ segment' = [segment EXCEPT ![n] = None]
  /\ UNCHANGED <<floor, floating, writer, answered, expired, refused, ran>>

(* ----------------------------- claimants ----------------------------- *)

(* Rivals expire together; earlier expiry of one of them is covered by behaviours in which it never runs. *)
Expire(q) ==
  /\ q \notin expired
  /\ expired' = expired \cup {other \in Requests : SameKey(q, other)}
  /\ UNCHANGED <<segment, floor, floating, writer, answered, refused, ran>>

Refuse(q) ==
  /\ q \notin ran /\ q \notin refused
  /\ refused' = refused \cup {q}
  /\ UNCHANGED <<segment, floor, floating, writer, answered, expired, ran>>

Run(q) ==
  /\ q \in answered /\ q \notin ran
  /\ Guard("RunRefused", q \notin refused)
  /\ Guard("RunExpired", q \notin expired)
  /\ ran' = ran \cup {q}
  /\ UNCHANGED <<segment, floor, floating, writer, answered, expired, refused>>

Next ==
  \/ \E w \in Writers :
       \/ Load(w) \/ Confirm(w)
       \/ \E q \in Requests :
            AnswerFromMemory(w, q) \/ Create(w, q) \/ LoseReply(w, q) \/ FindOwn(w, q) \/ FindOther(w, q)
  \/ \E f \in floating : TakeEffectLate(f)
  \/ RaiseFloor
  \/ \E n \in Numbers : Delete(n)
  \/ \E q \in Requests : Expire(q)
  \/ \E q \in Rivals : Run(q)
  \/ \E q \in Refusable : Refuse(q)

Spec == Init /\ [][Next]_vars

(* ----------------------------- invariants ----------------------------- *)

(* At most one of the requests with the same key runs. *)
AtMostOnce == Cardinality(ran \cap Rivals) <= 1

(* A request whose caller was told that it did not run never runs. *)
RefusalIsTrue == refused \cap ran = {}

(* Every granted claim that has not expired is recorded in a live segment, and no earlier live segment holds its key. *)
OneHolder ==
  \A q \in answered \ expired :
    \E n \in Live :
      /\ segment[n].request = q
      /\ \A m \in Live : m < n => segment[m].request = q \/ ~SameKey(segment[m].request, q)
=============================================================================
