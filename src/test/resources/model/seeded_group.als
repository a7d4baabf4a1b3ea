/*
 * A group whose first voters are told at the first start, without a vote of all of them. A disk that founds holds the
 * first value; a disk that is emptied later must come back as another identity without a vote. At most one voter is lost
 * at a time.
 */
open util/ordering[Value] as values

sig Value {}
sig Disk {}
/** Disks of the first voters. Any other disk is the identity of one that was emptied, or a newcomer. */
sig First extends Disk {}

one sig Group {
  var voters: set Disk,
  var running: set Disk,
  var used: set Disk,
  var holds: Disk -> Value,
  var acknowledged: set Value,
  /** Any disks in each state: those that elect a leader in the next step. */
  var electors: set Disk
}

abstract sig Rule {}
/** Only the first start of the system founds; an emptied disk takes a new identity. */
one sig FoundOnce extends Rule {}
/** A newcomer votes once it holds what a majority of the voters before and after the change holds. */
one sig SyncedNewcomer extends Rule {}
/** A write is acknowledged once a majority holds it. */
one sig MajorityFirst extends Rule {}
one sig Protocol { rules: set Rule }

fun able: set Disk { Group.voters & Group.running & Group.holds.Value }
pred majorityOf[q: set Disk, all_: set Disk] { mul[#(q & all_), 2] > #all_ }
/** Voters that may elect a leader; it has the newest value among them. */
pred quorum { Group.electors in able and majorityOf[Group.electors, Group.voters] }
fun newest: lone Value { values/max[Group.holds[Group.electors]] }

/** A first voter that starts for the first time, perhaps later than the others. */
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

/** A newcomer takes the place of a lost voter. */
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

/** Whoever can be elected holds everything that was acknowledged. */
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

/** A group founded by two of three replaces a lost voter and writes again. */
run reachesWriteAfterReplacement {
  sound
  eventually (some lost, fresh: Disk | replace[lost, fresh]
    and after eventually (some v: Value | fresh in Group.electors and write[v]))
} for 5 Disk, 3 Value, 5 Int, 7..7 steps
