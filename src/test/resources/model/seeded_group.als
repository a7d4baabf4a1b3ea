/*
 * Model of a group whose initial voters are configured at the first start, so that no bootstrap vote is needed. The
 * disk of an initial voter starts with the first value. A disk that is emptied later must return with another identity,
 * which has no vote yet. At most one voter is lost at a time.
 */
open util/ordering[Value] as values

sig Value {}
sig Disk {}
/** Disks of the initial voters. Any other disk is the new identity of an emptied disk, or belongs to a new host. */
sig First extends Disk {}

one sig Group {
  var voters: set Disk,
  var running: set Disk,
  var used: set Disk,
  var holds: Disk -> Value,
  var acknowledged: set Value,
  /** The disks that elect a leader in the next step; unconstrained in every state. */
  var electors: set Disk
}

abstract sig Rule {}
/** Disks are bootstrapped only at the first start of the system; an emptied disk gets a new identity. */
one sig FoundOnce extends Rule {}
/** A new disk votes only once it holds the newest value of a majority of the voters before and after the change. */
one sig SyncedNewcomer extends Rule {}
/** A write is acknowledged only once a majority holds it. */
one sig MajorityFirst extends Rule {}
one sig Protocol { rules: set Rule }

fun able: set Disk { Group.voters & Group.running & Group.holds.Value }
pred majorityOf[q: set Disk, all_: set Disk] { mul[#(q & all_), 2] > #all_ }
/** Whether the electors can elect a leader. The leader holds the newest value among them. */
pred quorum { Group.electors in able and majorityOf[Group.electors, Group.voters] }
fun newest: lone Value { values/max[Group.holds[Group.electors]] }

/** An initial voter starts for the first time, possibly later than the others. */
pred found[d: First] {
  d not in Group.used
  holds' = holds + Group -> d -> values/first
  running' = running + Group -> d
  used' = used + Group -> d
  voters' = voters and acknowledged' = acknowledged
}

pred write[v: Value] {
  quorum
  values/gt[v, newest]
  (MajorityFirst in Protocol.rules)
    implies holds' = holds - Group -> Group.electors -> Value + Group -> Group.electors -> v
    else (some d: Group.electors | holds' = holds - Group -> d -> Value + Group -> d -> v)
  acknowledged' = acknowledged + Group -> v
  voters' = voters and running' = running and used' = used
}

/** A voter's disk is emptied while all other voters run. */
pred empty[d: Disk] {
  d in able and Group.voters in Group.running
  (FoundOnce in Protocol.rules)
    implies (holds' = holds - Group -> d -> Value and running' = running - Group -> d)
    else (holds' = holds - Group -> d -> Value + Group -> d -> values/first and running' = running)
  used' = used and voters' = voters and acknowledged' = acknowledged
}

/** A new disk replaces a lost voter. */
pred replace[lost: Disk, fresh: Disk] {
  lost in Group.voters - Group.running
  fresh not in Group.used + First
  quorum
  voters' = voters - Group -> lost + Group -> fresh
  (SyncedNewcomer in Protocol.rules)
    implies (majorityOf[Group.electors + fresh, Group.voters'] and holds' = holds + Group -> fresh -> newest)
    else holds' = holds + Group -> fresh -> values/first
  running' = running + Group -> fresh
  used' = used + Group -> fresh
  acknowledged' = acknowledged
}

pred idle {
  voters' = voters and running' = running and used' = used and holds' = holds and acknowledged' = acknowledged
}

fact behaviour {
  #First = 3
  Group.voters = First
  no running and no used and no holds and no acknowledged
  always (
    idle
    or (some d: First | found[d])
    or (some v: Value | write[v])
    or (some d: Disk | empty[d])
    or (some lost, fresh: Disk | replace[lost, fresh]))
}

/** Any leader that can be elected holds every acknowledged value. */
pred acknowledgedKept {
  always (quorum implies (all v: Group.acknowledged | some d: Group.electors | values/gte[Group.holds[d], v]))
}

pred sound { Protocol.rules = Rule }

check acknowledgedKeptHolds { sound implies acknowledgedKept } for 5 Disk, 3 Value, 5 Int, 7..7 steps

check acknowledgedKeptWithoutFoundOnce {
  Protocol.rules = Rule - FoundOnce implies acknowledgedKept } for 4 Disk, 3 Value, 5 Int, 6..6 steps
check acknowledgedKeptWithoutSyncedNewcomer {
  Protocol.rules = Rule - SyncedNewcomer implies acknowledgedKept } for 5 Disk, 3 Value, 5 Int, 8..8 steps
check acknowledgedKeptWithoutMajorityFirst {
  Protocol.rules = Rule - MajorityFirst implies acknowledgedKept } for 4 Disk, 3 Value, 5 Int, 6..6 steps

/**
 * There is a trace in which a group replaces a voter that was emptied or never started, and then a quorum that includes
 * the new disk writes.
 */
run reachesWriteAfterReplacement {
  sound
  eventually (some lost, fresh: Disk | replace[lost, fresh]
    and after eventually (some v: Value | fresh in Group.electors and write[v]))
} for 5 Disk, 3 Value, 5 Int, 7..7 steps
