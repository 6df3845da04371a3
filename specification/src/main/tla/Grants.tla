------------------------------- MODULE Grants -------------------------------
(* Ownership of runners and slots of models, kept in a key-value service by  *)
(* compare-and-swap on single keys. Any process may pause between any two    *)
(* steps, for any time or for ever, or die. A write whose reply is lost may  *)
(* take effect at once, later or never; it can no longer take effect after   *)
(* another write of its key, because writes compare revisions. Orders reach  *)
(* engines late or never, in any order. An outage of the service is modelled *)
(* as a period without steps of the service.                                 *)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS
  Processes,  \* incarnations of nodes
  Runners,
  Models,
  Fencing,    \* runners whose engine refuses an order with an old fencing number
  Cap,        \* replicas of a model in the first configuration
  LoweredCap, \* replicas of a model in the second configuration
  Memory,     \* number of replicas that fit into a runner's memory
  MaxEpoch,   \* bound on the number of owner changes of a runner
  MaxLost,    \* bound on the writes without a reply that may still take effect
  Mutant      \* name of the guard that is disabled, or "none"

Guard(name, condition) == Mutant = name \/ condition
CapOf(version) == IF version = 1 THEN Cap ELSE LoweredCap
Symmetry == Permutations(Processes) \cup Permutations(Models) \cup
            (IF Fencing \in {{}, Runners} THEN Permutations(Runners) ELSE {})

VARIABLES
  runner,    \* runner -> its stored record
  model,     \* model -> its stored record: epoch of the entry by runner (0 for none), and version of the cap
  lostR,     \* runner -> writes of its record that may still take effect
  lostM,     \* model -> writes of its record that may still take effect
  own,       \* process -> runner -> local state of the process
  accepted,  \* process -> version of the newest configuration that it has accepted
  alive,     \* processes that have not died
  loaded,    \* runner -> models loaded on its engine
  fence,     \* runner -> highest fencing number that its engine has accepted
  orders,    \* orders in flight to engines
  inForce    \* models whose lowered cap has come into force

kv == <<runner, model, lostR, lostM>>
engines == <<loaded, fence, orders>>
vars == <<kv, own, accepted, alive, engines, inForce>>

Nothing == [phase |-> "none", epoch |-> 0, slots |-> {}, excluded |-> {}, settled |-> TRUE,
            step |-> "idle", on |-> "none", view |-> {}]

Init ==
  /\ runner = [r \in Runners |-> [owner |-> "none", epoch |-> 0, slots |-> {}, free |-> TRUE]]
  /\ model = [m \in Models |-> [entry |-> [r \in Runners |-> 0], version |-> 1]]
  /\ lostR = [r \in Runners |-> {}]
  /\ lostM = [m \in Models |-> {}]
  /\ own = [p \in Processes |-> [r \in Runners |-> Nothing]]
  /\ accepted = [p \in Processes |-> 1]
  /\ alive = Processes
  /\ loaded = [r \in Runners |-> {}]
  /\ fence = [r \in Runners |-> 0]
  /\ orders = {}
  /\ inForce = {}

(* ------------------------------- writes ------------------------------- *)

LostWrites == UNION {{<<r, v>> : v \in lostR[r]} : r \in Runners}
              \cup UNION {{<<m, v>> : v \in lostM[m]} : m \in Models}

WriteRunner(r, value) ==
  /\ runner' = [runner EXCEPT ![r] = value]
  /\ lostR' = [lostR EXCEPT ![r] = {}]
  /\ UNCHANGED <<model, lostM>>

LoseRunner(r, value) ==
  /\ Cardinality(LostWrites) < MaxLost
  /\ lostR' = [lostR EXCEPT ![r] = @ \cup {value}]
  /\ UNCHANGED <<runner, model, lostM>>

WriteModel(m, value) ==
  /\ model' = [model EXCEPT ![m] = value]
  /\ lostM' = [lostM EXCEPT ![m] = {}]
  /\ UNCHANGED <<runner, lostR>>

LoseModel(m, value) ==
  /\ Cardinality(LostWrites) < MaxLost
  /\ lostM' = [lostM EXCEPT ![m] = @ \cup {value}]
  /\ UNCHANGED <<runner, model, lostR>>

TakeEffectLate ==
  /\ \/ \E r \in Runners : \E value \in lostR[r] : WriteRunner(r, value)
     \/ \E m \in Models : \E value \in lostM[m] : WriteModel(m, value)
  /\ UNCHANGED <<own, accepted, alive, engines, inForce>>

(* ------------------------------ processes ------------------------------ *)

Becomes(p, r, value) == own' = [own EXCEPT ![p][r] = value]
Same == UNCHANGED <<accepted, alive, engines, inForce>>

(* The owner's last known revision is still current, so its compare-and-swap can succeed. *)
IsOwner(p, r) == runner[r].owner = p /\ runner[r].epoch = own[p][r].epoch
InFlight(p, r) == \E o \in orders : o.process = p /\ o.runner = r
Ready(p, r) == own[p][r].phase = "ready" /\ own[p][r].step = "idle"
Usable(p, r) == own[p][r].slots \ own[p][r].excluded
Entries(m) == {r \in Runners : model[m].entry[r] # 0}

Gone(p) == p \notin alive /\ \A o \in orders : o.process # p

Acquire(p, r) ==
  LET current == runner[r]
      next == [current EXCEPT !.owner = p, !.epoch = @ + 1, !.free = FALSE]
      taken == [Nothing EXCEPT !.phase = "adopting", !.epoch = next.epoch, !.slots = next.slots]
  IN
  /\ p \in alive /\ own[p][r].phase = "none" /\ current.epoch < MaxEpoch
  /\ Guard("TakeWithoutEvidence", current.free \/ current.owner = p \/ r \in Fencing \/ Gone(current.owner))
  /\ \/ WriteRunner(r, next) /\ Becomes(p, r, taken)
     \/ LoseRunner(r, next) /\ UNCHANGED own
  /\ Same

Adopt(p, r, m) ==
  LET next == [model[m] EXCEPT !.entry[r] = own[p][r].epoch] IN
  /\ own[p][r].phase = "adopting" /\ m \in own[p][r].slots
  /\ model[m].entry[r] \notin {0, own[p][r].epoch}
  /\ WriteModel(m, next) \/ LoseModel(m, next)
  /\ UNCHANGED own /\ Same

Adopted(p, r) ==
  LET held == own[p][r] IN
  /\ held.phase = "adopting"
  /\ Guard("SkipAdoption", \A m \in held.slots : model[m].entry[r] \in {0, held.epoch})
  /\ Becomes(p, r, [held EXCEPT
       !.excluded = {m \in held.slots : model[m].entry[r] = 0},
       !.phase = IF r \in Fencing THEN "fencing" ELSE "ready",
       !.view = loaded[r]])
  /\ UNCHANGED kv /\ Same

(* The engine accepts the first order with the new epoch and is inspected afterwards. *)
Fence(p, r) ==
  /\ own[p][r].phase = "fencing" /\ fence[r] <= own[p][r].epoch
  /\ fence' = [fence EXCEPT ![r] = IF Mutant = "ActBeforeFence" THEN @ ELSE own[p][r].epoch]
  /\ Becomes(p, r, [own[p][r] EXCEPT !.phase = "ready", !.view = loaded[r]])
  /\ UNCHANGED <<kv, accepted, alive, loaded, orders, inForce>>

EnterSlot(p, r, m) ==
  LET held == own[p][r]
      next == [entry |-> [model[m].entry EXCEPT ![r] = held.epoch], version |-> accepted[p]]
  IN
  /\ Ready(p, r) /\ held.settled /\ m \notin Usable(p, r)
  /\ Guard("OldConfiguration", model[m].version <= accepted[p])
  /\ model[m].entry[r] <= held.epoch
  /\ r \in Entries(m) \/ Guard("IgnoreCap", Cardinality(Entries(m)) < CapOf(accepted[p]))
  /\ \/ /\ IF Mutant = "KeepEntry" /\ model[m].entry[r] = held.epoch THEN UNCHANGED kv ELSE WriteModel(m, next)
        /\ Becomes(p, r, [held EXCEPT !.step = "granting", !.on = m])
     \/ LoseModel(m, next) /\ UNCHANGED own
  /\ Same

UseSlot(p, r) ==
  LET held == own[p][r]
      next == [runner[r] EXCEPT !.slots = @ \cup {held.on}]
      idle == [held EXCEPT !.step = "idle", !.on = "none"]
  IN
  /\ held.step = "granting" /\ IsOwner(p, r)
  /\ \/ /\ WriteRunner(r, next)
        /\ Becomes(p, r, [idle EXCEPT !.slots = next.slots, !.excluded = @ \ {held.on}])
     \/ LoseRunner(r, next) /\ Becomes(p, r, [idle EXCEPT !.settled = FALSE])
  /\ Same

(* The service is unavailable between the two writes of a grant or a give-back. *)
GiveUp(p, r) ==
  /\ own[p][r].step # "idle"
  /\ Becomes(p, r, [own[p][r] EXCEPT !.step = "idle", !.on = "none"])
  /\ UNCHANGED kv /\ Same

ReturnSlot(p, r, m) ==
  LET held == own[p][r]
      next == [runner[r] EXCEPT !.slots = @ \ {m}]
      stopped == [held EXCEPT !.excluded = @ \cup {m}]
  IN
  /\ Ready(p, r) /\ held.settled /\ m \in held.slots
  /\ Guard("ReturnLoaded", m \notin held.view /\ ~InFlight(p, r))
  /\ IsOwner(p, r)
  /\ \/ /\ WriteRunner(r, next)
        /\ Becomes(p, r, [held EXCEPT !.slots = next.slots, !.excluded = @ \ {m}, !.step = "returning", !.on = m])
     \/ /\ LoseRunner(r, next)
        /\ Becomes(p, r, [IF Mutant = "KeepOrdering" THEN held ELSE stopped EXCEPT !.settled = FALSE])
  /\ Same

RemoveEntry(p, r) ==
  LET held == own[p][r]
      next == [model[held.on] EXCEPT !.entry[r] = 0]
  IN
  /\ held.step = "returning"
  /\ model[held.on].entry[r] # 0
  /\ Guard("RemoveAnyEpoch", model[held.on].entry[r] = held.epoch)
  /\ WriteModel(held.on, next) \/ LoseModel(held.on, next)
  /\ Becomes(p, r, [held EXCEPT !.step = "idle", !.on = "none"])
  /\ Same

(* Removes the entry of a slot that is in the model record only. *)
RemoveUnused(p, r, m) ==
  LET held == own[p][r]
      next == [model[m] EXCEPT !.entry[r] = 0]
  IN
  /\ held.phase \in {"ready", "fencing"} /\ held.step = "idle"
  /\ Guard("SkipSettle", held.settled)
  /\ m \notin held.slots /\ model[m].entry[r] \in 1..held.epoch
  /\ WriteModel(m, next) \/ LoseModel(m, next)
  /\ UNCHANGED own /\ Same

(* Writes the record again, so that no earlier write of its owner can still take effect. *)
Settle(p, r) ==
  LET held == own[p][r]
      next == [runner[r] EXCEPT !.free = FALSE]
  IN
  /\ ~held.settled /\ IsOwner(p, r)
  /\ WriteRunner(r, next)
  /\ Becomes(p, r, [held EXCEPT
       !.settled = TRUE, !.slots = next.slots, !.phase = IF @ = "handing" THEN "ready" ELSE @])
  /\ Same

HandOver(p, r) ==
  LET next == [runner[r] EXCEPT !.free = TRUE] IN
  /\ Ready(p, r) /\ own[p][r].settled /\ IsOwner(p, r)
  /\ Guard("HandOverInFlight", ~InFlight(p, r))
  /\ \/ WriteRunner(r, next) /\ Becomes(p, r, Nothing)
     \/ LoseRunner(r, next) /\ Becomes(p, r, [own[p][r] EXCEPT !.settled = FALSE, !.phase = "handing"])
  /\ Same

FindNewOwner(p, r) ==
  /\ own[p][r].phase # "none" /\ ~IsOwner(p, r)
  /\ Becomes(p, r, Nothing)
  /\ UNCHANGED kv /\ Same

(* If all engines fence, a death is no different from an endless pause and needs no step of its own. *)
Die(p) ==
  /\ p \in alive /\ Fencing # Runners
  /\ alive' = alive \ {p}
  /\ own' = [own EXCEPT ![p] = [r \in Runners |-> Nothing]]
  /\ UNCHANGED <<kv, accepted, engines, inForce>>

(* ---------------------------- configuration ---------------------------- *)

LearnConfiguration(p) ==
  /\ LoweredCap < Cap /\ accepted[p] = 1
  /\ accepted' = [accepted EXCEPT ![p] = 2]
  /\ UNCHANGED <<kv, own, alive, engines, inForce>>

NoteCap(p, m) ==
  /\ p \in alive /\ accepted[p] > model[m].version
  /\ WriteModel(m, [model[m] EXCEPT !.version = accepted[p]])
  /\ UNCHANGED own /\ Same

ComeIntoForce(m) ==
  /\ LoweredCap < Cap /\ m \notin inForce /\ model[m].version = 2 /\ Cardinality(Entries(m)) <= LoweredCap
  /\ inForce' = inForce \cup {m}
  /\ UNCHANGED <<kv, own, accepted, alive, engines>>

(* ------------------------------- engines ------------------------------- *)

Send(p, r, kind, m) ==
  orders' = orders \cup {[process |-> p, runner |-> r, epoch |-> own[p][r].epoch, kind |-> kind, model |-> m]}

OrderLoad(p, r, m) ==
  /\ own[p][r].phase = "ready" /\ m \in Usable(p, r) \ own[p][r].view /\ ~InFlight(p, r)
  /\ Guard("IgnoreMemory", Cardinality(own[p][r].view) < Memory)
  /\ Send(p, r, "load", m)
  /\ Becomes(p, r, [own[p][r] EXCEPT !.view = @ \cup {m}])
  /\ UNCHANGED <<kv, accepted, alive, loaded, fence, inForce>>

OrderUnload(p, r, m) ==
  /\ own[p][r].phase = "ready" /\ m \in own[p][r].view /\ ~InFlight(p, r)
  /\ Send(p, r, "unload", m)
  /\ UNCHANGED <<kv, own, accepted, alive, loaded, fence, inForce>>

(* The engine reports its loaded models once all orders of the owner have been answered. *)
Inspect(p, r) ==
  /\ own[p][r].phase = "ready" /\ ~InFlight(p, r)
  /\ Becomes(p, r, [own[p][r] EXCEPT !.view = loaded[r]])
  /\ UNCHANGED kv /\ Same

Execute(o) ==
  LET r == o.runner
      refused == r \in Fencing /\ o.epoch < fence[r]
  IN
  /\ orders' = orders \ {o}
  /\ loaded' = [loaded EXCEPT ![r] =
       IF refused THEN @ ELSE IF o.kind = "load" THEN @ \cup {o.model} ELSE @ \ {o.model}]
  /\ fence' = [fence EXCEPT ![r] = IF o.epoch > @ THEN o.epoch ELSE @]
  /\ UNCHANGED <<kv, own, accepted, alive, inForce>>

LoseOrder(o) ==
  /\ orders' = orders \ {o}
  /\ UNCHANGED <<kv, own, accepted, alive, loaded, fence, inForce>>

Next ==
  \/ TakeEffectLate
  \/ \E p \in Processes, r \in Runners :
       \/ Acquire(p, r) \/ Adopted(p, r) \/ Fence(p, r) \/ UseSlot(p, r) \/ GiveUp(p, r) \/ RemoveEntry(p, r)
       \/ Settle(p, r) \/ HandOver(p, r) \/ FindNewOwner(p, r) \/ Inspect(p, r)
       \/ \E m \in Models :
            \/ Adopt(p, r, m) \/ EnterSlot(p, r, m) \/ ReturnSlot(p, r, m) \/ RemoveUnused(p, r, m)
            \/ OrderLoad(p, r, m) \/ OrderUnload(p, r, m)
  \/ \E p \in Processes : Die(p) \/ LearnConfiguration(p) \/ \E m \in Models : NoteCap(p, m)
  \/ \E m \in Models : ComeIntoForce(m)
  \/ \E o \in orders : Execute(o) \/ LoseOrder(o)

Spec == Init /\ [][Next]_vars

(* ------------------------------ invariants ------------------------------ *)

Replicas(m) == Cardinality({r \in Runners : m \in loaded[r]})

(* No more replicas of a model are loaded than its cap allows. *)
CapHolds == \A m \in Models : Replicas(m) <= Cap

(* The slots of a model stay within its cap, which bounds the loaded replicas. *)
SlotsWithinCap ==
  \A m \in Models : Cardinality(Entries(m)) <= (IF m \in inForce THEN LoweredCap ELSE Cap)
LoadedIsGranted == \A r \in Runners : loaded[r] \subseteq runner[r].slots

(* Once a lowered cap is in force, the replicas never exceed it again. *)
LoweredCapHolds == \A m \in inForce : Replicas(m) <= LoweredCap

(* The accelerator memory of a runner is never overcommitted. *)
MemoryHolds == \A r \in Runners : Cardinality(loaded[r]) <= Memory

(* Every slot in a runner record has an entry in its model record. *)
SlotsAreEntered == \A r \in Runners : \A m \in runner[r].slots : model[m].entry[r] # 0
=============================================================================
