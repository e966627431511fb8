/*
 * One request id of the ticket protocol: its owner, its witness, a caller that
 * repeats its request, and two daemons that settle the id.
 *
 * A message, once sent, may be delivered never, once or several times, at any
 * later time and in any order: sent messages are flags that are never cleared. A
 * frozen process takes no step for a long time, which interleaving covers. A crash
 * loses all state: the process named in the id is gone for good, and a process
 * started in its place is a different one. Timeouts may occur at any time, since
 * correctness does not depend on clocks.
 *
 * Macros inject faults into the protocol, see check.
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

/* messages sent so far */
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

/* executions at the target, and the verdicts reported to the caller by any process */
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

/* execute is the arrival of the dispatched request at the target. */
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
	/* the wait in the queue or for the witness timed out */
	:: atomic { ownerAlive && (stage == QUEUED || stage == ASKING) -> finish(NOTRUN) }
	:: atomic { ownerAlive && denied && stage == ASKING -> finish(NOTRUN) }
	:: atomic { ownerAlive && granted && stage == ASKING -> stage = DISPATCHED }
#ifdef LATE_PERMIT
	:: atomic { ownerAlive && granted && stage == FINISHED && verdict == NOTRUN && runs == 0 -> stage = DISPATCHED }
#endif
	/* the target executes the request and answers, or its answer is lost,
	   or the request is lost */
	:: atomic { ownerAlive && stage == DISPATCHED -> execute(); finish(RAN) }
	:: atomic { ownerAlive && stage == DISPATCHED -> execute(); finish(MAYHAVERUN) }
	:: atomic { ownerAlive && stage == DISPATCHED -> finish(MAYHAVERUN) }
	/* a request in flight is executed although its sender has crashed */
	:: atomic { !ownerAlive && stage == DISPATCHED -> execute(); stage = FINISHED }
	/* the record falls below the watermark */
	:: atomic { ownerAlive && stage == FINISHED && !ownerForgot -> ownerForgot = true }
	/* the owner, or the process in its place, answers settle requests */
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
	/* a restarted witness does not know the id, nor does one whose watermark is above it */
	:: atomic { (witnessReplaced || witnessAlive && witnessForgot) && closeRequest && !witnessSaysMay -> witnessSaysMay = true }
	/* the mark falls below the watermark */
	:: atomic { witnessAlive && !witnessForgot && mark != NONE -> witnessForgot = true }
	od
}

/* At most two crashes occur, at any time. */
active proctype Failures() {
	do
	:: atomic { crashes < 2 && ownerAlive -> ownerAlive = false; crashes++ }
	:: atomic { crashes < 2 && witnessAlive -> witnessAlive = false; crashes++ }
	/* another process may start on the VM, or none */
	:: atomic { !witnessAlive && !witnessReplaced -> witnessReplaced = true }
	:: break
	od
}

proctype Settler(byte me) {
	byte word = 0;
	settleRequest = true;
	/* the owner answers, or it is gone, or the wait for it times out */
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
		:: word = MAYHAVERUN /* the wait for the witness times out */
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

/* Both settlers get a verdict. */
ltl settled { <> (said0 != 0 && said1 != 0) }
