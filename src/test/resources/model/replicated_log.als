/*
 * Model of the replicated log: votes, log entries, commits, and the replacement of one lost disk.
 *
 * Identities A, B and C are the initial voters. D is the identity of C's host after C's disk was lost. The voter change
 * entry replaces C by D. Messages are not modelled: an action reads the state of two voters at once, but any voter may
 * act on any older leader at any time, which covers delay, loss and reordering. The state is the content of the disks.
 */
open util/ordering[Term] as terms
open util/ordering[Index] as indexes

sig Term {}
sig Index {}

abstract sig Voter {
  var term: one Term,
  var voted: Term -> Voter,
  var log: Index -> lone Term,
  var leads: set Term,
  var acknowledged: Index -> Term
}
one sig A, B, C, D extends Voter {}

/** Committed entries (index, term of the entry, term of the committing leader), the voter change, and lost disks. */
one sig History { var committed: Index -> Term -> Term, var change: Index -> Term, var lost: set Voter }

abstract sig Rule {}
/** A voter votes for at most one candidate in a term. */
one sig OneVote extends Rule {}
/** A voter votes only for a candidate whose log is at least as up to date as its own. */
one sig UpToDate extends Rule {}
/** A voter acknowledges only entries that are synced to its disk. */
one sig SyncFirst extends Rule {}
/** A host whose disk was lost gets a new identity. */
one sig FreshIdentity extends Rule {}
/** A voter change needs a majority of the voters before it and a majority of the voters after it. */
one sig DoubleMajority extends Rule {}
one sig Protocol { rules: set Rule }

fun votersBefore: set Voter { A + B + C }
fun votersAfter: set Voter { A + B + D }

pred majority[votes, voters: set Voter] { #(votes & voters) > 1 }

/** Whether the votes form a quorum according to the voter's own log. */
pred enough[self: Voter, votes: set Voter] {
  some self.log & History.change
    implies (majority[votes, votersAfter] and (DoubleMajority in Protocol.rules implies majority[votes, votersBefore]))
    else majority[votes, votersBefore]
}

pred mayVote[v: Voter] {
  v not in History.lost
  some v.log & History.change implies v in votersBefore + votersAfter else v in votersBefore
}

fun lastIndex[v: Voter]: lone Index { indexes/max[v.log.Term] }
fun lastTerm[v: Voter]: lone Term { v.log[lastIndex[v]] }
fun prefix[v: Voter, i: Index]: Index -> Term { (i + indexes/prevs[i]) <: v.log }

pred holdsAtLeast[candidate, v: Voter] {
  no v.log
  or (some candidate.log and terms/gt[lastTerm[candidate], lastTerm[v]])
  or (lastTerm[candidate] = lastTerm[v] and indexes/gte[lastIndex[candidate], lastIndex[v]])
}

pred unchanged[vs: set Voter] {
  all v: vs {
    v.term' = v.term
    v.voted' = v.voted
    v.log' = v.log
    v.leads' = v.leads
    v.acknowledged' = v.acknowledged
  }
}
pred sameHistory { committed' = committed and change' = change and lost' = lost }

/** A voter votes for a candidate, which becomes leader once it has a quorum. */
pred vote[v, candidate: Voter, t: Term] {
  mayVote[v] and mayVote[candidate]
  terms/gte[t, v.term]
  v = candidate implies terms/gt[t, v.term] else (candidate.term = t and candidate in candidate.voted[t])
  OneVote in Protocol.rules implies v.voted[t] in candidate
  UpToDate in Protocol.rules implies holdsAtLeast[candidate, v]
  unchanged[Voter - v - candidate]
  v.term' = t
  v.voted' = v.voted + t -> candidate
  v.log' = v.log
  v.acknowledged' = v.acknowledged
  v != candidate implies {
    v.leads' = v.leads
    candidate.term' = candidate.term
    candidate.voted' = candidate.voted
    candidate.log' = candidate.log
    candidate.acknowledged' = candidate.acknowledged
  }
  let votes = { x: Voter | x = v or candidate in x.voted[t] } |
    candidate.leads' = candidate.leads + (enough[candidate, votes] implies t else none)
  sameHistory
}

/** A leader appends an entry. At most one entry in a trace is the voter change. */
pred append[l: Voter] {
  l.term in l.leads
  l not in History.lost
  unchanged[Voter - l]
  l.term' = l.term and l.voted' = l.voted and l.leads' = l.leads and l.acknowledged' = l.acknowledged
  some i: Index {
    no l.log implies i = indexes/first else i = indexes/next[lastIndex[l]]
    l.log' = l.log + i -> l.term
    change' = change or (no change and change' = History -> i -> l.term)
  }
  committed' = committed and lost' = lost
}

/** A voter copies a leader's log up to an index and acknowledges it. */
pred replicate[l, f: Voter, i: Index] {
  l != f
  l.term in l.leads
  l + f in Voter - History.lost
  terms/gte[l.term, f.term]
  i in l.log.Term
  unchanged[Voter - f]
  f.term' = l.term
  f.voted' = f.voted
  f.leads' = f.leads
  f.acknowledged' = f.acknowledged + i -> l.term
  let taken = prefix[f, i] = prefix[l, i] implies f.log else prefix[l, i] |
    f.log' = taken or (SyncFirst not in Protocol.rules and f.log' = f.log)
  sameHistory
}

/**
 * A leader commits the log up to an entry that a quorum acknowledged in its term. The entry itself must be of that term.
 */
pred commit[l: Voter, i: Index] {
  l.term in l.leads
  l not in History.lost
  i in l.log.Term
  l.log[i] = l.term
  enough[l, l + { v: Voter | some j: i + indexes/nexts[i] | l.term in v.acknowledged[j] }]
  unchanged[Voter]
  committed' = committed + History -> prefix[l, i] -> l.term
  change' = change and lost' = lost
}

/** The disk of C is lost. Its host continues as D or, without the rule FreshIdentity, as C with an empty disk. */
pred loseDisk {
  no History.lost
  unchanged[Voter - C]
  FreshIdentity in Protocol.rules implies {
    unchanged[C]
  } else {
    C.term' = terms/first
    no C.voted'
    no C.log'
    no C.leads'
    C.acknowledged' = C.acknowledged
  }
  lost' = History -> (FreshIdentity in Protocol.rules implies C else D)
  committed' = committed and change' = change
}

pred stutter { unchanged[Voter] and sameHistory }

fact behaviour {
  // The first term starts after its election: A is leader with the votes of A and B.
  all v: Voter {
    v.term = terms/first
    v.voted = (v in A + B implies terms/first -> A else none -> none)
    v.leads = (v = A implies terms/first else none)
    no v.log and no v.acknowledged
  }
  no committed and no change and no lost
  always (
    stutter or loseDisk
    or (some v, c: Voter, t: Term | vote[v, c, t])
    or (some l: Voter | append[l])
    or (some l, f: Voter, i: Index | replicate[l, f, i])
    or (some l: Voter, i: Index | commit[l, i]))
}

/** A term has at most one leader. */
pred electionSafety { always all t: Term | lone leads.t }

/** The log of a leader contains every entry committed by leaders of earlier terms. */
pred committedKept {
  always all l: Voter, t: l.leads | l.term = t and l not in History.lost implies
    all k: terms/prevs[t] | History.committed.k in l.log
}

/** The identity of a lost disk never votes again. */
pred lostNeverVotes { always all v: History.lost | always v.voted' = v.voted }

pred sound { Protocol.rules = Rule }
pred without[r: Rule] { Protocol.rules = Rule - r }

check electionSafetyHolds { sound implies electionSafety } for 3 Term, 1 Index, 6..6 steps
check committedKeptHolds { sound implies committedKept } for 2 Term, 1 Index, 8..8 steps
check committedKeptOverTwoEntries { sound implies committedKept } for 3 Term, 2 Index, 6..6 steps
check lostNeverVotesHolds { sound implies lostNeverVotes } for 2 Term, 1 Index, 6..6 steps

check electionSafetyWithoutOneVote { without[OneVote] implies electionSafety } for 2 Term, 1 Index, 6..6 steps
check electionSafetyWithoutFreshIdentity {
  without[FreshIdentity] implies electionSafety
} for 2 Term, 1 Index, 7..7 steps
check committedKeptWithoutUpToDate { without[UpToDate] implies committedKept } for 2 Term, 1 Index, 7..7 steps
check committedKeptWithoutSyncFirst { without[SyncFirst] implies committedKept } for 2 Term, 1 Index, 7..7 steps
check committedKeptWithoutDoubleMajority {
  without[DoubleMajority] implies committedKept
} for 2 Term, 1 Index, 8..8 steps
check lostVotesWithoutFreshIdentity {
  without[FreshIdentity] implies always (
    (no C.voted and once some C.voted) implies always no C.voted)
} for 2 Term, 1 Index, 6..6 steps

/** Guards against a model without progress: there is a trace that commits the voter change. */
run reachesCommittedChange {
  sound and eventually some History.change & History.committed.Term
} for 2 Term, 1 Index, 7..7 steps
