//! Attempts: nothing runs twice that may not, callers get the true verdict, and repeats are bounded.

use {
    cowslip_decide::{
        attempts::{AttemptHistory, AttemptOutcome, FinalError, NextAction, RetryPolicy},
        names::Name,
        verdict::Reason,
    },
    quickcheck::{Arbitrary, Gen, quickcheck},
    std::time::Duration,
    tokio::time::Instant,
};

const ORDER: RetryPolicy = RetryPolicy {
    idempotent: false,
    sharded: true,
    max_attempts: 3,
};
const LOOKUP: RetryPolicy = RetryPolicy {
    idempotent: true,
    sharded: false,
    max_attempts: 2,
};

#[derive(Clone, Copy, Debug)]
struct Any(AttemptOutcome);

impl Arbitrary for Any {
    fn arbitrary(random: &mut Gen) -> Self {
        let all = [
            AttemptOutcome::Answered,
            AttemptOutcome::ServerError,
            AttemptOutcome::NotOwner,
            AttemptOutcome::Refused,
            AttemptOutcome::Unsent,
            AttemptOutcome::Broken,
            AttemptOutcome::DeadlinePassed,
        ];
        Self(*random.choose(&all).expect("one of them"))
    }
}

fn may_have_run(seen: AttemptOutcome) -> bool {
    !matches!(
        seen,
        AttemptOutcome::NotOwner | AttemptOutcome::Refused | AttemptOutcome::Unsent
    )
}

/// Plays ends until the request is over; returns them with what followed the last one.
fn play(
    kind: RetryPolicy,
    ends: &[Any],
    may_repeat: bool,
) -> (Vec<AttemptOutcome>, Option<NextAction>, AttemptHistory) {
    let target = Name::from("b0");
    let (mut course, mut seen) = (AttemptHistory::default(), Vec::new());
    for Any(end) in ends {
        seen.push(*end);
        let next = course.record_attempt(kind, &target, *end, || may_repeat);
        if matches!(next, NextAction::ReturnAnswer | NextAction::ReturnError(_)) {
            return (seen, Some(next), course);
        }
    }
    (seen, None, course)
}

quickcheck! {
    fn a_request_runs_at_most_as_often_as_it_may(ends: Vec<Any>, sharded: bool, idempotent: bool, attempts: u32) -> bool {
        let kind = RetryPolicy { idempotent, sharded, max_attempts: attempts % 5 + 1 };
        let (seen, _, _) = play(kind, &ends, true);
        let most = if idempotent { kind.max_attempts } else { 1 };
        seen.iter().filter(|it| may_have_run(**it)).count() <= most as usize
    }

    fn a_refusal_is_true(ends: Vec<Any>, sharded: bool, idempotent: bool, may_repeat: bool) -> bool {
        let kind = RetryPolicy { idempotent, sharded, max_attempts: 3 };
        let (seen, next, course) = play(kind, &ends, may_repeat);
        let ran = seen.iter().any(|it| may_have_run(*it));
        let refused = matches!(next, Some(NextAction::ReturnError(FinalError::Refused(_))));
        let given_up = matches!(course.final_error(Reason::Deadline), FinalError::Refused(_));
        !(ran && (refused || given_up))
    }

    fn without_the_bound_nothing_is_sent_again_that_reached_a_target(ends: Vec<Any>, sharded: bool) -> bool {
        let (seen, _, _) = play(RetryPolicy { idempotent: true, sharded, max_attempts: 9 }, &ends, false);
        seen.iter().filter(|it| **it != AttemptOutcome::Unsent).count() <= 1
    }

    fn sends_that_do_not_run_come_to_an_end(idempotent: bool, sharded: bool, wrong: bool) -> bool {
        let end = if wrong { AttemptOutcome::NotOwner } else { AttemptOutcome::Unsent };
        let kind = RetryPolicy { idempotent, sharded, max_attempts: 9 };
        let (seen, next, _) = play(kind, &[Any(end); 20], true);
        seen.len() <= 7 && matches!(next, Some(NextAction::ReturnError(FinalError::Refused(_))))
    }
}

#[test]
fn another_target_is_tried_where_there_is_one() {
    let (first, mut course) = (Name::from("c0"), AttemptHistory::default());
    let next = course.record_attempt(LOOKUP, &first, AttemptOutcome::Refused, || true);
    assert_eq!(next, NextAction::RetryAfter(Duration::ZERO));
    assert_eq!(course.excluded, std::slice::from_ref(&first));
    let next = course.record_attempt(LOOKUP, &"c1".into(), AttemptOutcome::Broken, || true);
    assert_eq!(next, NextAction::RetryAfter(Duration::ZERO));
    assert_eq!(course.excluded.len(), 2);
    let mut course = AttemptHistory::default();
    let next = course.record_attempt(ORDER, &first, AttemptOutcome::Refused, || true);
    assert!(matches!(next, NextAction::RetryAfter(wait) if wait > Duration::ZERO));
    assert!(course.excluded.is_empty());
}

#[test]
fn an_answer_of_failure_goes_to_the_caller_once_attempts_are_used_up() {
    let target = Name::from("c0");
    let mut course = AttemptHistory::default();
    let again = course.record_attempt(LOOKUP, &target, AttemptOutcome::ServerError, || true);
    assert_eq!(again, NextAction::RetryAfter(Duration::ZERO));
    let last = course.record_attempt(LOOKUP, &target, AttemptOutcome::ServerError, || true);
    assert_eq!(last, NextAction::ReturnAnswer);
    assert_eq!(course.final_error(Reason::Deadline), FinalError::TimedOut);
}

#[test]
fn a_request_waits_for_an_owner_for_a_part_of_its_time() {
    let start = Instant::now();
    let millis = Duration::from_millis;
    for (patience, most) in [(1000, 400), (10_000, 1200)] {
        let mut course = AttemptHistory::default();
        let deadline = start + millis(patience);
        assert_eq!(
            course.poll_owner_wait(deadline, start),
            Some(start + millis(most))
        );
        // A later look does not prolong the wait.
        let end = course.poll_owner_wait(deadline, start + millis(most - 1));
        assert_eq!(end, Some(start + millis(most)));
        assert_eq!(course.poll_owner_wait(deadline, start + millis(most)), None);
        course.clear_owner_wait();
        assert!(
            course
                .poll_owner_wait(deadline, start + millis(most))
                .is_some()
        );
    }
}
