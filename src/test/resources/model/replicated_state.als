/*
 * Model of the state machines. Every command may be applied more than once, because a proposer resends a command whose
 * answer was lost. The call of an idempotency key runs at most once, a sheet version is decided once, and the sheet in
 * force never reverts to a lower version.
 */
open util/ordering[Version] as versions

sig Key {}
/** A request of a caller. Two requests with the same key are retries by the caller through two hosts. */
sig Request { key: one Key }
sig Version {}
sig Digest {}

one sig State {
  var owner: Key -> Request,
  var ran: set Request,
  var inForce: lone Version,
  var decided: Version -> Digest
}

abstract sig Rule {}
/** An intent is granted only if its key has no owner, or again to the same request. */
one sig IntentOnce extends Rule {}
/** A sheet is applied only if its version is higher than the one in force. */
one sig CompareVersion extends Rule {}
one sig Protocol { rules: set Rule }

pred sameIntents { owner' = owner and ran' = ran }
pred sameSheets { inForce' = inForce and decided' = decided }

/** Applies the intent of a request, for the first time or again. */
pred recordIntent[r: Request] {
  (IntentOnce in Protocol.rules and some State.owner[r.key])
    implies owner' = owner
    else owner' = owner + State -> r.key -> r
  ran' = ran
  sameSheets
}

/** A host sends a request after its intent was granted. */
pred send[r: Request] {
  r in State.owner[r.key]
  r not in State.ran
  ran' = ran + State -> r
  owner' = owner
  sameSheets
}

pred applySheet[v: Version, d: Digest] {
  (CompareVersion in Protocol.rules and some State.inForce and versions/lte[v, State.inForce])
    implies sameSheets
    else (inForce' = State -> v and decided' = decided + State -> v -> d)
  sameIntents
}

fact behaviour {
  no owner and no ran and no inForce and no decided
  always (
    (sameIntents and sameSheets)
    or (some r: Request | recordIntent[r] or send[r])
    or (some v: Version, d: Digest | applySheet[v, d]))
}

pred atMostOnce { always all k: Key | lone State.ran & key.k }
pred versionDecidedOnce { always all v: Version | lone State.decided[v] }
pred neverReverts { always (some State.inForce implies some State.inForce' and versions/gte[State.inForce', State.inForce]) }

pred sound { Protocol.rules = Rule }

check atMostOnceHolds { sound implies atMostOnce } for 4 but 8..8 steps
check versionDecidedOnceHolds { sound implies versionDecidedOnce } for 4 but 8..8 steps
check neverRevertsHolds { sound implies neverReverts } for 4 but 8..8 steps

check atMostOnceWithoutIntentOnce { Protocol.rules = CompareVersion implies atMostOnce } for 3 but 8..8 steps
check versionDecidedOnceWithoutCompare { Protocol.rules = IntentOnce implies versionDecidedOnce } for 3 but 8..8 steps
check neverRevertsWithoutCompare { Protocol.rules = IntentOnce implies neverReverts } for 3 but 8..8 steps
