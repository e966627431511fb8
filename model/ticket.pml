/*
 * One request id of the ticket protocol: its owner, its witness, a caller that
 * repeats itself, and two daemons that settle the id.
 *
 * A message, once sent, may be delivered never, once or often, at any later
 * time and in any order: sent messages are flags that nothing clears. A frozen
 * process is one that takes no step for long, which interleaving covers. A crash
 * is a restart from empty: the process named in the id is gone for good and
 * what runs in its place is another one. Timeouts may strike at any time, since
 * no clock is part of the argument.
 *
 * Macros break the protocol on purpose, see check.
 */

#define NONE 0
#define QUEUED 1
#define ASKING 2
#define DISPATCHED 3
#define FINISHED 4

#define NOTRUN 1
#define RAN 2
#define MAYHAVERUN 3

#define PERMITTED 1
#define CLOSED 2

/* messages that were sent */
bool request, permitRequest, granted, denied;
bool settleRequest, ownerSaysNotRun, ownerSaysRan, ownerSaysMay, ownerIsGone;
bool closeRequest, witnessSaysNotRun, witnessSaysMay;

/* the owner process and its record of the id */
bool ownerAlive = true;
bool ownerForgot = false;
byte stage = NONE;
byte verdict = 0;

/* the witness process and its mark */
bool witnessAlive = true;
bool witnessReplaced = false;
bool witnessForgot = false;
byte mark = NONE;

/* the target, and what was said to the caller by anyone */
byte runs = 0;
bool saidNotRun = false;
byte said0 = 0, said1 = 0;

byte crashes = 0;

#define SAFE assert(runs <= 1 && !(saidNotRun && runs > 0))

inline say(value) {
	if
	:: value == NOTRUN -> saidNotRun = true
	:: else
	fi;
	SAFE
}

/* run stands for the arrival of the dispatched request at the target. */
inline execute() {
	runs++;
	SAFE
}

inline finish(value) {
	stage = FINISHED;
	verdict = value;
	say(value)
}

active proctype Caller() {
	request = true
}

active proctype Owner() {
	do
	:: atomic { ownerAlive && request && stage == NONE && !ownerForgot -> stage = QUEUED }
#ifdef OWNER_FORGETS_WITHOUT_WATERMARK
	:: atomic { ownerAlive && request && ownerForgot && stage == FINISHED -> stage = QUEUED; ownerForgot = false }
#endif
#ifdef NO_PERMIT
	:: atomic { ownerAlive && stage == QUEUED -> stage = DISPATCHED }
#else
	:: atomic { ownerAlive && stage == QUEUED -> stage = ASKING; permitRequest = true }
#endif
	/* the wait in the queue or for the witness was too long */
	:: atomic { ownerAlive && (stage == QUEUED || stage == ASKING) -> finish(NOTRUN) }
	:: atomic { ownerAlive && denied && stage == ASKING -> finish(NOTRUN) }
	:: atomic { ownerAlive && granted && stage == ASKING -> stage = DISPATCHED }
#ifdef LATE_PERMIT
	:: atomic { ownerAlive && granted && stage == FINISHED && verdict == NOTRUN && runs == 0 -> stage = DISPATCHED }
#endif
	/* the target executes the request and answers, or its answer is lost,
	   or the request is lost on its way */
	:: atomic { ownerAlive && stage == DISPATCHED -> execute(); finish(RAN) }
	:: atomic { ownerAlive && stage == DISPATCHED -> execute(); finish(MAYHAVERUN) }
	:: atomic { ownerAlive && stage == DISPATCHED -> finish(MAYHAVERUN) }
	/* a request on the wire is executed although its sender has died */
	:: atomic { !ownerAlive && stage == DISPATCHED -> execute(); stage = FINISHED }
	/* the record falls below the watermark */
	:: atomic { ownerAlive && stage == FINISHED && !ownerForgot -> ownerForgot = true }
	/* settling */
	:: atomic { ownerAlive && settleRequest && stage == NONE && !ownerForgot -> finish(NOTRUN); ownerSaysNotRun = true }
	:: atomic { ownerAlive && settleRequest && ownerForgot && !ownerSaysMay -> ownerSaysMay = true }
	:: atomic { ownerAlive && settleRequest && !ownerForgot && stage == FINISHED && verdict == NOTRUN && !ownerSaysNotRun -> ownerSaysNotRun = true }
	:: atomic { ownerAlive && settleRequest && !ownerForgot && stage == FINISHED && verdict == RAN && !ownerSaysRan -> ownerSaysRan = true }
	:: atomic { ownerAlive && settleRequest && !ownerForgot && stage == FINISHED && verdict == MAYHAVERUN && !ownerSaysMay -> ownerSaysMay = true }
	:: atomic { !ownerAlive && settleRequest && !ownerIsGone -> ownerIsGone = true }
	od
}

active proctype Witness() {
	do
	:: atomic { witnessAlive && permitRequest && !witnessForgot && mark != CLOSED && !granted -> mark = PERMITTED; granted = true }
	:: atomic { witnessAlive && permitRequest && !witnessForgot && mark == CLOSED && !denied -> denied = true }
	:: atomic { (witnessReplaced || witnessAlive && witnessForgot) && permitRequest && !denied -> denied = true }
#ifdef RESTARTED_WITNESS_GRANTS
	:: atomic { witnessReplaced && permitRequest && !granted -> granted = true }
#endif
#ifdef WITNESS_FORGETS_WITHOUT_WATERMARK
	:: atomic { witnessAlive && witnessForgot && permitRequest && !granted -> granted = true }
#endif
	:: atomic { witnessAlive && closeRequest && !witnessForgot && mark != PERMITTED && !witnessSaysNotRun -> mark = CLOSED; witnessSaysNotRun = true }
	:: atomic { witnessAlive && closeRequest && !witnessForgot && mark == PERMITTED && !witnessSaysMay -> witnessSaysMay = true }
	/* another process of the VM, or one below the watermark, cannot tell */
	:: atomic { (witnessReplaced || witnessAlive && witnessForgot) && closeRequest && !witnessSaysMay -> witnessSaysMay = true }
	/* the mark falls below the watermark */
	:: atomic { witnessAlive && !witnessForgot && mark != NONE -> witnessForgot = true }
	od
}

/* Crashes strike at any time, and then stop. */
active proctype Failures() {
	do
	:: atomic { crashes < 2 && ownerAlive -> ownerAlive = false; crashes++ }
	:: atomic { crashes < 2 && witnessAlive -> witnessAlive = false; crashes++ }
	/* another process may start on the VM, or the VM stays gone */
	:: atomic { !witnessAlive && !witnessReplaced -> witnessReplaced = true }
	:: break
	od
}

proctype Settler(byte me) {
	byte word = 0;
	settleRequest = true;
	/* the owner answers, or it is gone, or it is silent for too long */
	do
	:: atomic { word == 0 && ownerSaysNotRun -> word = NOTRUN }
	:: atomic { word == 0 && ownerSaysRan -> word = RAN }
	:: atomic { word == 0 && ownerSaysMay -> word = MAYHAVERUN }
	:: atomic { word == 0 && (ownerIsGone || true) -> break }
	:: atomic { word != 0 -> break }
	od;
	if
	:: word != 0
#ifdef SETTLE_BEFORE_CLOSE
	:: word == 0 -> word = NOTRUN; closeRequest = true
#else
	:: word == 0 ->
		closeRequest = true;
		if
		:: atomic { witnessSaysNotRun -> word = NOTRUN }
		:: atomic { witnessSaysMay -> word = MAYHAVERUN }
#ifndef ENDLESS_WAIT
		:: word = MAYHAVERUN /* the witness is silent for too long */
#endif
		fi
#endif
	fi;
	atomic {
		say(word);
		if
		:: me == 0 -> said0 = word
		:: else -> said1 = word
		fi
	}
}

init { atomic { run Settler(0); run Settler(1) } }

/* Every id is settled. */
ltl settled { <> (said0 != 0 && said1 != 0) }
