/*
 * Tickets, fences, revocation, settlement, dropped records and drain: one ticket with two tasks that are not repeatable
 * (two attempts for task 0, one for task 1), its issuer, a settling entry and two agents. spec/README.md maps the actions
 * to the code and lists the abstractions.
 *
 * A message is a flag that its receiver may consume at any later step or never, which covers loss, delay and reordering.
 * A process takes its next step at any time or never, which covers crashes, pauses and resumption.
 * WITH_DROPS adds dropped records and fences, WITH_DRAIN adds a planned stop of agent 0. They are searched separately to
 * keep the number of states small.
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
bit jobRestarted;
#endif
byte taskState[2];
byte attempts[2];
/* Agent of each attempt plus 1; 0 before the attempt. */
byte target[3];

/* Messages in flight. */
bit startSent[3];
bit revokeSent[3];
byte outcomeSent[3];

/* Agents. A restarted agent is another incarnation and does not respond about this ticket. */
byte record[3];
bit restarted[2];
bit fenced[2];
bit issuerFenced[2];
bit recordsIncomplete[2];
bit draining;

/* Settling entry. */
byte reply[2];
bit reportedRan[2];

/* Answers by task, and facts that only the assertions read. */
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
        issuerAnswer[t] == NO_ANSWER && taskState[t] == QUEUED && attempts[t] < LIMIT(t) ->
        target[FIRST(t) + attempts[t]] = a + 1;
        startSent[FIRST(t) + attempts[t]] = 1;
        attempts[t]++;
        taskState[t] = PENDING
    }
}

inline sendSecondStart() {
    d_step {
        issuerAnswer[0] == NO_ANSWER && taskState[0] == QUEUED && attempts[0] == 1 ->
        target[1] = 2;
        startSent[1] = 1;
        attempts[0]++;
        taskState[0] = PENDING
    }
}

/* The connection was lost after the start: a revocation resolves its unknown outcome. */
inline sendRevoke(t) {
    d_step {
        issuerAnswer[t] == NO_ANSWER && taskState[t] == PENDING && !revokeSent[FIRST(t) + attempts[t] - 1] ->
#ifdef RETRY_UNKNOWN
        taskState[t] = QUEUED
#else
        revokeSent[FIRST(t) + attempts[t] - 1] = 1
#endif
    }
}

inline receiveOutcome(i) {
    d_step {
        outcomeSent[i] != NO_ANSWER ->
        if
        :: issuerAnswer[0] == NO_ANSWER && taskState[TASK(i)] == PENDING && i == FIRST(TASK(i)) + attempts[TASK(i)] - 1 ->
            if
            :: outcomeSent[i] == RAN -> taskState[TASK(i)] = FINAL_RAN
            :: else -> taskState[TASK(i)] = QUEUED
            fi
        :: else
        fi;
        outcomeSent[i] = NO_ANSWER
    }
}

/* At the deadline, cancellation or completion: the answer covers every task, and nothing is started after it. */
inline answerTask(t) {
    if
    :: taskState[t] == FINAL_RAN -> issuerAnswer[t] = RAN
#ifdef PENDING_IS_NOT_RUN
    :: taskState[t] == PENDING -> issuerAnswer[t] = NOT_RUN
#else
    :: taskState[t] == PENDING -> issuerAnswer[t] = MAY_HAVE_RUN
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
        taskState[0] = QUEUED;
        taskState[1] = QUEUED;
        attempts[0] = 0;
        attempts[1] = 0;
        outcomeSent[0] = NO_ANSWER;
        outcomeSent[1] = NO_ANSWER;
        outcomeSent[2] = NO_ANSWER
    }
}

#if defined(NO_JOIN) || defined(REUSE_ISSUER_INCARNATION)
/*
 * Without these faults, a submission of the same ticket and body joins the open job, and a replaced issuer has another
 * incarnation, so neither changes the issuer's state. With them, either one starts the job again, once.
 */
inline restartJob() {
    d_step {
        !jobRestarted && issuerAnswer[0] == NO_ANSWER ->
        jobRestarted = 1;
        taskState[0] = QUEUED;
#ifdef REUSE_ISSUER_INCARNATION
        taskState[1] = QUEUED
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
    :: restartJob()
#endif
    od
}

/* An issuer that has answered the job reads no more outcomes. */
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

/* Fences the ticket at once; the reply follows when none of its tasks runs at this agent. */
inline receiveSettle() {
    d_step {
        reply[id] == NO_REPLY && settledAnswer[0] == NO_ANSWER && !fenced[id] && !restarted[id] ->
        fenced[id] = 1
    }
}

/* Whether attempt i, or any attempt, was sent to this agent and has this record state. */
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

inline clearRecord(i, state) {
    if
    :: MINE(i, state) -> record[i] = NONE
    :: else
    fi
}

/* To bound memory, the agent drops the finished records of the ticket, and its low-water mark passes the ticket. */
inline dropRecords() {
    d_step {
        !restarted[id] && !ANY(RUNNING) && (ANY(DONE) || ANY(TOMBSTONE)) ->
        clearRecord(0, DONE); clearRecord(0, TOMBSTONE);
        clearRecord(1, DONE); clearRecord(1, TOMBSTONE);
        clearRecord(2, DONE); clearRecord(2, TOMBSTONE);
        recordsIncomplete[id] = 1
    }
}

/* To bound memory, the agent replaces the ticket's fence by a permanent fence of the issuer's incarnation. */
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
    clearRecord(0, RUNNING); clearRecord(0, DONE); clearRecord(0, TOMBSTONE);
    clearRecord(1, RUNNING); clearRecord(1, DONE); clearRecord(1, TOMBSTONE);
    clearRecord(2, RUNNING); clearRecord(2, DONE); clearRecord(2, TOMBSTONE);
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

/* Planned stop: the agent exits only when no task runs. */
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

/* Crash and restart: running tasks are cut off. */
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

/* The settling entry may receive a resubmission at any time: it only suspects that the issuer is dead. */
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
