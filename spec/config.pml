/* mutants: LOWER_APPLIED LOST_IS_FAILURE BLIND_RETRY HEAD_UNCHECKED */
/*
 * Operators' changes and their way to the daemons.
 *
 * Two attempts, each at a change of its own, over a platform that loses questions and
 * answers and carries out late what it was sent; two followers that get changes and
 * snapshots in any order, late and doubled, and that restart.
 *
 * Words as in the code: attempt, plan, in doubt, head, operation, follower, snapshot.
 */

#define ATTEMPTS 2
#define FOLLOWERS 2
#define MOST_SENDS 2
#define MOST_HEAD 4
#define OPERATIONS 6

mtype = { PENDING, ACCEPTED, NOT_ACCEPTED, UNKNOWN };

/* The platform's table. */
byte head = 0;
byte operation_revision[OPERATIONS];
byte log_operation[MOST_HEAD];
byte times_applied[ATTEMPTS];

/* Transactions under way: the operation, the head that it checks, its attempt. */
chan sent = [3] of { byte, byte, byte };

mtype outcome[ATTEMPTS] = PENDING;
byte answered_operation[ATTEMPTS];
bool committed[ATTEMPTS];
bool answer_arrived[ATTEMPTS];

/* Carries out one transaction as PlatformService::commit does; answers 1 when committed. */
inline carry_out(operation, checked, attempt, result) {
    if
#ifdef MUTANT_HEAD_UNCHECKED
    :: operation_revision[operation] == 0 ->
#else
    :: head == checked && operation_revision[operation] == 0 ->
#endif
        /* Revisions never repeat, and no answer that said no turns into a yes. */
        assert(log_operation[checked] == 0);
        assert(outcome[attempt] != NOT_ACCEPTED);
        log_operation[checked] = operation + 1;
        operation_revision[operation] = checked + 1;
        times_applied[attempt]++;
        assert(times_applied[attempt] <= 1);
        head = checked + 1;
        result = 1
    :: else -> result = 0
    fi
}

/* What was held back on the way arrives late, or never. */
active proctype late_platform() {
    byte operation, checked, attempt, result;
end:
    do
    :: atomic {
        sent ? operation, checked, attempt ->
        if
        :: true -> carry_out(operation, checked, attempt, result)
        :: skip
        fi;
        result = 0; operation = 0; checked = 0; attempt = 0
       }
    od
}

/* ChangeSubmission: rows_read, commit_ended, retry_if_in_doubt, give_up. */
proctype change_submission(byte me) {
    byte operation = me;
    byte planned = 0;
    byte sends = 0;
    byte result = 0;
    bool in_doubt = false;

reading:
    if
    :: atomic {
        /* rows_read: one consistent state of head and operation. */
        true ->
        if
        :: operation_revision[operation] != 0 ->
            outcome[me] = ACCEPTED;
            answered_operation[me] = operation;
            goto done
        :: operation_revision[operation] == 0 && in_doubt && head == planned ->
            goto sending
        :: else ->
            in_doubt = false;
            planned = head;
            goto sending
        fi
       }
    :: true -> goto failed
    fi;

sending:
    if
    :: sends == MOST_SENDS || head >= MOST_HEAD - 1 -> goto give_up
    :: else -> sends++
    fi;
    if
    :: atomic {
        true ->
        carry_out(operation, planned, me, result);
        if
        :: result == 1 ->
            outcome[me] = ACCEPTED;
            answered_operation[me] = operation;
            goto done
        :: else -> goto reading
        fi
       }
    :: atomic { true -> carry_out(operation, planned, me, result); result = 0; goto lost }
    :: atomic { nfull(sent) -> sent ! operation, planned, me; goto lost }
    :: true -> goto lost
    :: true -> goto failed
    fi;

lost:
#ifdef MUTANT_LOST_IS_FAILURE
    goto failed;
#else
#ifdef MUTANT_BLIND_RETRY
    operation = operation + ATTEMPTS;
    goto reading;
#else
    in_doubt = true;
    goto failed;
#endif
#endif

failed:
    if
    :: in_doubt -> goto reading
    :: in_doubt -> goto give_up
    :: else -> goto give_up
    fi;

give_up:
    atomic {
        if
        :: in_doubt -> outcome[me] = UNKNOWN
        :: else ->
            assert(times_applied[me] == 0);
            outcome[me] = NOT_ACCEPTED
        fi
    };

done:
    /* A yes is true: the operation's row stands, and it made a revision of the log. */
    assert(outcome[me] != ACCEPTED ||
           (operation_revision[answered_operation[me]] != 0 &&
            log_operation[operation_revision[answered_operation[me]] - 1]
                == answered_operation[me] + 1))
}

byte have[FOLLOWERS];

/* ConfigFollower: apply, snapshot_read; what arrives may be of any revision ever committed. */
proctype follower(byte me) {
    byte offered;
    byte before;
end:
    do
    :: atomic {
        head > 0 ->
        /* A change of any age, from the platform, a peer or a doubled message. */
        select(offered : 1 .. MOST_HEAD);
        if
        :: offered <= head ->
            before = have[me];
            if
#ifdef MUTANT_LOWER_APPLIED
            :: true -> have[me] = offered
#else
            :: offered == have[me] + 1 -> have[me] = offered
#endif
            :: else -> skip
            fi;
            assert(have[me] >= before && have[me] <= before + 1)
        :: else -> skip
        fi;
        offered = 0; before = 0
       }
    :: atomic {
        /* A snapshot of the other follower, or of any earlier time. */
        select(offered : 0 .. MOST_HEAD);
        if
        :: offered <= head ->
            before = have[me];
            if
            :: offered > have[me] -> have[me] = offered
            :: else -> skip
            fi;
            assert(have[me] >= before)
        :: else -> skip
        fi;
        offered = 0; before = 0
       }
    :: have[me] > 0 -> have[me] = 0 /* restart: a new process has nothing */
    od
}

init {
    atomic {
        run change_submission(0);
        run change_submission(1);
        run follower(0);
        run follower(1)
    }
}
