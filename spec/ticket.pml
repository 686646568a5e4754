/*
 * Tickets, fences, revocation, settlement, dropped records and drain: one ticket with two tasks that are not repeatable
 * (two attempts for task 0, one for task 1), its issuer, a settling entry and two agents. spec/README.md maps the actions to the code and lists the abstractions.
 *
 * A message is a flag that its receiver may consume at any later step or never, which covers loss, delay and reordering.
 * A process takes its next step at any time or never, which covers death, pauses and waking.
 * WITH_DROPS adds dropped records and fences, WITH_DRAIN adds a planned stop of agent 0; they are searched apart, which
 * keeps the number of states small.
 * The other defines under #ifdef are seeded faults; scripts/checkModel.mjs requires that each of them is found.
 */
#define QUEUED 0
#define PENDING 1
#define FINAL_NOT_RUN 2
#define FINAL_RAN 3

#define NONE 0
#define RUNNING 1
#define DONE 2
#define TOMBSTONE 3

#define NO_ANSWER 0
#define NOT_RUN 1
#define RAN 2
#define MAY_HAVE_RUN 3

#define NO_REPLY 0
#define INCOMPLETE 1
#define COMPLETE 2

/* Attempts 0 and 1 belong to task 0, attempt 2 to task 1. */
#define TASK(i) ((i) / 2)
#define FIRST(t) (2 * (t))
#define LIMIT(t) (2 - (t))

/* Issuer. */
#if defined(NO_JOIN) || defined(REUSE_ISSUER_INCARNATION)
bit forgot;
#endif
byte fate[2];
byte attempts[2];
/* Agent of an attempt, from 1; 0 while the attempt was not made. */
byte target[3];

/* Messages in flight. */
bit startSent[3];
bit revokeSent[3];
byte outcomeSent[3];

/* Agents: a restarted agent is another incarnation and answers nothing about this ticket. */
byte record[3];
bit restarted[2];
bit fenced[2];
bit issuerFenced[2];
bit recordsIncomplete[2];
bit draining;

/* Settling entry. */
byte reply[2];
bit reportedRan[2];

/* Answers by task and facts that only the properties read. */
byte issuerAnswer[2];
byte settledAnswer[2];
byte starts[2];
bit ended[2];

inline checkAnswers(t) {
    assert(!(issuerAnswer[t] == NOT_RUN && starts[t] > 0));
    assert(!(settledAnswer[t] == NOT_RUN && starts[t] > 0));
    assert(!(issuerAnswer[t] == NOT_RUN && settledAnswer[t] == RAN));
    assert(!(issuerAnswer[t] == RAN && settledAnswer[t] == NOT_RUN));
    assert(!(issuerAnswer[t] == RAN && !ended[t]));
    assert(!(settledAnswer[t] == RAN && !ended[t]))
}

inline sendStart(t, a) {
    d_step {
        issuerAnswer[t] == NO_ANSWER && fate[t] == QUEUED && attempts[t] < LIMIT(t) ->
        target[FIRST(t) + attempts[t]] = a + 1;
        startSent[FIRST(t) + attempts[t]] = 1;
        attempts[t]++;
        fate[t] = PENDING
    }
}

inline sendSecondStart() {
    d_step {
        issuerAnswer[0] == NO_ANSWER && fate[0] == QUEUED && attempts[0] == 1 ->
        target[1] = 2;
        startSent[1] = 1;
        attempts[0]++;
        fate[0] = PENDING
    }
}

/* The connection was lost after the start: its fate is resolved by a revocation. */
inline sendRevoke(t) {
    d_step {
        issuerAnswer[t] == NO_ANSWER && fate[t] == PENDING && !revokeSent[FIRST(t) + attempts[t] - 1] ->
#ifdef RETRY_UNKNOWN
        fate[t] = QUEUED
#else
        revokeSent[FIRST(t) + attempts[t] - 1] = 1
#endif
    }
}

inline receiveOutcome(i) {
    d_step {
        outcomeSent[i] != NO_ANSWER ->
        if
        :: issuerAnswer[0] == NO_ANSWER && fate[TASK(i)] == PENDING && i == FIRST(TASK(i)) + attempts[TASK(i)] - 1 ->
            if
            :: outcomeSent[i] == RAN -> fate[TASK(i)] = FINAL_RAN
            :: else -> fate[TASK(i)] = QUEUED
            fi
        :: else
        fi;
        outcomeSent[i] = NO_ANSWER
    }
}

/* Deadline, cancellation or completion: the answer covers every task, and nothing is started after it. */
inline answerTask(t) {
    if
    :: fate[t] == FINAL_RAN -> issuerAnswer[t] = RAN
#ifdef PENDING_IS_NOT_RUN
    :: fate[t] == PENDING -> issuerAnswer[t] = NOT_RUN
#else
    :: fate[t] == PENDING -> issuerAnswer[t] = MAY_HAVE_RUN
#endif
    :: else -> issuerAnswer[t] = NOT_RUN
    fi
}

inline answerFromIssuer() {
    d_step {
        issuerAnswer[0] == NO_ANSWER ->
        answerTask(0);
        answerTask(1);
        checkAnswers(0);
        checkAnswers(1);
        fate[0] = QUEUED;
        fate[1] = QUEUED;
        attempts[0] = 0;
        attempts[1] = 0;
        outcomeSent[0] = NO_ANSWER;
        outcomeSent[1] = NO_ANSWER;
        outcomeSent[2] = NO_ANSWER
    }
}

#if defined(NO_JOIN) || defined(REUSE_ISSUER_INCARNATION)
/*
 * Without the fault, a submission of the same ticket and body joins the open job and a replacement has another
 * incarnation, so neither changes the issuer's state. With it, either one begins the job again, once.
 */
inline forgetJob() {
    d_step {
        !forgot && issuerAnswer[0] == NO_ANSWER ->
        forgot = 1;
        fate[0] = QUEUED;
#ifdef REUSE_ISSUER_INCARNATION
        fate[1] = QUEUED
#endif
    }
}
#endif

active proctype Issuer() {
    do
    :: sendStart(0, 0)
    /* Attempt 0 goes to agent 0, the others to agent 1, so that agent 1 can have records of both tasks. */
    :: sendSecondStart()
    :: sendStart(1, 1)
    :: sendRevoke(0)
    :: sendRevoke(1)
    :: receiveOutcome(0)
    :: receiveOutcome(1)
    :: receiveOutcome(2)
    :: answerFromIssuer()
#if defined(NO_JOIN) || defined(REUSE_ISSUER_INCARNATION)
    :: forgetJob()
#endif
    od
}

/* An issuer that has answered reads no more outcomes. */
inline sendOutcome(i, verdict) {
    if
    :: issuerAnswer[0] == NO_ANSWER -> outcomeSent[i] = verdict
    :: else
    fi
}

inline receiveStart(i) {
    d_step {
        startSent[i] && target[i] == id + 1 && !restarted[id] ->
        startSent[i] = 0;
        if
#ifndef NO_FENCE
        :: fenced[id] || issuerFenced[id] -> sendOutcome(i, NOT_RUN)
#endif
#ifndef START_BELOW_LOW_WATER
        :: recordsIncomplete[id] -> sendOutcome(i, NOT_RUN)
#endif
#ifndef START_WHILE_DRAINING
        :: id == 0 && draining -> sendOutcome(i, NOT_RUN)
#endif
#ifndef NO_TOMBSTONE
        :: record[i] == TOMBSTONE -> sendOutcome(i, NOT_RUN)
#endif
        :: else ->
            assert(!(id == 0 && draining));
            record[i] = RUNNING;
            starts[TASK(i)]++;
            assert(starts[TASK(i)] == 1);
            assert(issuerAnswer[TASK(i)] != NOT_RUN && settledAnswer[TASK(i)] != NOT_RUN)
        fi
    }
}

inline finish(i) {
    d_step {
        record[i] == RUNNING && target[i] == id + 1 && !restarted[id] ->
        record[i] = DONE;
        ended[TASK(i)] = 1;
        sendOutcome(i, RAN)
    }
}

inline receiveRevoke(i) {
    d_step {
        revokeSent[i] && target[i] == id + 1 && !restarted[id] ->
        revokeSent[i] = 0;
        if
        :: record[i] == RUNNING
        :: record[i] == DONE -> sendOutcome(i, RAN)
#ifndef REVOKE_IGNORES_LOW_WATER
        :: record[i] == NONE && recordsIncomplete[id]
#endif
        :: else ->
            record[i] = TOMBSTONE;
            sendOutcome(i, NOT_RUN)
        fi
    }
}

/* Fences the ticket at once and replies when no task of it runs here any more. */
inline receiveSettle() {
    d_step {
        reply[id] == NO_REPLY && settledAnswer[0] == NO_ANSWER && !fenced[id] && !restarted[id] ->
        fenced[id] = 1
    }
}

#define MINE(i, state) (target[i] == id + 1 && record[i] == state)
#define ANY(state) (MINE(0, state) || MINE(1, state) || MINE(2, state))

inline replyToSettle() {
    d_step {
#ifdef SETTLE_BEFORE_END
        (fenced[id] || issuerFenced[id]) && reply[id] == NO_REPLY && settledAnswer[0] == NO_ANSWER && !restarted[id] ->
        reportedRan[0] = reportedRan[0] || MINE(0, RUNNING) || MINE(1, RUNNING);
        reportedRan[1] = reportedRan[1] || MINE(2, RUNNING);
#else
        (fenced[id] || issuerFenced[id]) && reply[id] == NO_REPLY && settledAnswer[0] == NO_ANSWER && !restarted[id] && !ANY(RUNNING) ->
#endif
        reportedRan[0] = reportedRan[0] || MINE(0, DONE) || MINE(1, DONE);
        reportedRan[1] = reportedRan[1] || MINE(2, DONE);
        if
#ifndef NO_LOW_WATER
        :: recordsIncomplete[id] -> reply[id] = INCOMPLETE
#endif
        :: else -> reply[id] = COMPLETE
        fi
    }
}

inline forget(i, state) {
    if
    :: MINE(i, state) -> record[i] = NONE
    :: else
    fi
}

/* Bounded memory: the finished records of the ticket are dropped, and the low-water mark passes the ticket. */
inline dropRecords() {
    d_step {
        !restarted[id] && !ANY(RUNNING) && (ANY(DONE) || ANY(TOMBSTONE)) ->
        forget(0, DONE); forget(0, TOMBSTONE);
        forget(1, DONE); forget(1, TOMBSTONE);
        forget(2, DONE); forget(2, TOMBSTONE);
        recordsIncomplete[id] = 1
    }
}

/* Bounded memory: a dropped fence becomes a permanent fence of the issuer's incarnation. */
inline dropFence() {
    d_step {
        fenced[id] && !restarted[id] ->
        fenced[id] = 0;
#ifndef NO_ISSUER_FENCE
        issuerFenced[id] = 1
#endif
    }
}

/* Only agent 0 drains, to bound the search. */
inline drain() {
    d_step { id == 0 && !draining && !restarted[id] -> draining = 1 }
}

inline loseMessages(i) {
    if
    :: target[i] == id + 1 -> startSent[i] = 0; revokeSent[i] = 0
    :: else
    fi
}

inline loseMemory() {
    forget(0, RUNNING); forget(0, DONE); forget(0, TOMBSTONE);
    forget(1, RUNNING); forget(1, DONE); forget(1, TOMBSTONE);
    forget(2, RUNNING); forget(2, DONE); forget(2, TOMBSTONE);
    fenced[id] = 0;
    issuerFenced[id] = 0;
    recordsIncomplete[id] = 0;
    if
    :: id == 0 -> draining = 0
    :: else
    fi;
#ifndef REUSE_AGENT_INCARNATION
    loseMessages(0);
    loseMessages(1);
    loseMessages(2);
    restarted[id] = 1
#endif
}

/* The planned stop: it leaves only when nothing runs. */
inline leave() {
    d_step {
#ifdef LEAVE_EARLY
        id == 0 && draining && !restarted[id] ->
#else
        id == 0 && draining && !restarted[id] && !ANY(RUNNING) ->
#endif
        assert(!ANY(RUNNING));
        loseMemory()
    }
}

/* Death and restart: running tasks are cut off. */
inline restart() {
    d_step { !restarted[id] && !(id == 0 && draining) -> loseMemory() }
}

active [2] proctype Agent() {
    /* The issuer is process 0. */
    byte id = _pid - 1;
    do
    :: receiveStart(0)
    :: receiveStart(1)
    :: receiveStart(2)
    :: finish(0)
    :: finish(1)
    :: finish(2)
    :: receiveRevoke(0)
    :: receiveRevoke(1)
    :: receiveRevoke(2)
    :: receiveSettle()
    :: replyToSettle()
#ifdef WITH_DROPS
    :: dropRecords()
    :: dropFence()
#endif
#ifdef WITH_DRAIN
    :: drain()
    :: leave()
#endif
    :: restart()
    od
}

inline settleTask(t) {
    if
    :: reportedRan[t] -> settledAnswer[t] = RAN
#ifdef SETTLE_WITHOUT_ALL
    :: !reportedRan[t] && (reply[0] == COMPLETE || reply[1] == COMPLETE) -> settledAnswer[t] = NOT_RUN
#else
    :: !reportedRan[t] && reply[0] == COMPLETE && reply[1] == COMPLETE -> settledAnswer[t] = NOT_RUN
#endif
    :: else -> settledAnswer[t] = MAY_HAVE_RUN
    fi
}

/* The settling entry takes a resubmission at any time: it may only believe that the issuer is dead. */
active proctype SettlingEntry() {
    do
    :: d_step {
        settledAnswer[0] == NO_ANSWER ->
        settleTask(0);
        settleTask(1);
        reply[0] = NO_REPLY;
        reply[1] = NO_REPLY;
        reportedRan[0] = 0;
        reportedRan[1] = 0;
        checkAnswers(0);
        checkAnswers(1)
    }
    od
}
