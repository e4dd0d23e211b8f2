//! Attempts: a request runs twice only if idempotent, and not if refused; retries are limited.

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

const REMOVAL: RetryPolicy = RetryPolicy {
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
struct AnyOutcome(AttemptOutcome);

impl Arbitrary for AnyOutcome {
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
        Self(*random.choose(&all).expect("the list is not empty"))
    }
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::NotOwner | AttemptOutcome::Refused | AttemptOutcome::Unsent
    )
}

/// Records outcomes until the request is over; returns those used, the last action and the history.
fn run_attempts(
    policy: RetryPolicy,
    outcomes: &[AnyOutcome],
    within_budget: bool,
) -> (Vec<AttemptOutcome>, Option<NextAction>, AttemptHistory) {
    let target = Name::from("b0");
    let (mut history, mut recorded) = (AttemptHistory::default(), Vec::new());
    for AnyOutcome(outcome) in outcomes {
        recorded.push(*outcome);
        let next = history.record_attempt(policy, &target, *outcome, || within_budget);
        if matches!(
            next,
            NextAction::ReturnResponse | NextAction::ReturnError(_)
        ) {
            return (recorded, Some(next), history);
        }
    }
    (recorded, None, history)
}

quickcheck! {
    fn runs_stay_within_the_retry_policy(outcomes: Vec<AnyOutcome>, sharded: bool, idempotent: bool, attempts: u32) -> bool {
        let policy = RetryPolicy { idempotent, sharded, max_attempts: attempts % 5 + 1 };
        let (recorded, _, _) = run_attempts(policy, &outcomes, true);
        let limit = if idempotent { policy.max_attempts } else { 1 };
        recorded.iter().filter(|it| may_have_run(**it)).count() <= limit as usize
    }

    fn a_refused_request_has_not_run(outcomes: Vec<AnyOutcome>, sharded: bool, idempotent: bool, within_budget: bool) -> bool {
        let policy = RetryPolicy { idempotent, sharded, max_attempts: 3 };
        let (recorded, next, history) = run_attempts(policy, &outcomes, within_budget);
        let ran = recorded.iter().any(|it| may_have_run(*it));
        let refused = matches!(next, Some(NextAction::ReturnError(FinalError::Refused(_))));
        let refused_later = matches!(history.final_error(Reason::Deadline), FinalError::Refused(_));
        !(ran && (refused || refused_later))
    }

    fn without_retry_budget_nothing_that_reached_a_target_is_sent_again(outcomes: Vec<AnyOutcome>, sharded: bool) -> bool {
        let (recorded, _, _) = run_attempts(RetryPolicy { idempotent: true, sharded, max_attempts: 9 }, &outcomes, false);
        recorded.iter().filter(|it| **it != AttemptOutcome::Unsent).count() <= 1
    }

    fn attempts_that_do_not_run_are_limited(idempotent: bool, sharded: bool, not_owner: bool) -> bool {
        let outcome = if not_owner { AttemptOutcome::NotOwner } else { AttemptOutcome::Unsent };
        let policy = RetryPolicy { idempotent, sharded, max_attempts: 9 };
        let (recorded, next, _) = run_attempts(policy, &[AnyOutcome(outcome); 20], true);
        // Six retries after the first attempt.
        recorded.len() <= 7 && matches!(next, Some(NextAction::ReturnError(FinalError::Refused(_))))
    }
}

#[test]
fn a_retry_goes_to_another_target_unless_sharded() {
    let (first, mut history) = (Name::from("c0"), AttemptHistory::default());
    let next = history.record_attempt(LOOKUP, &first, AttemptOutcome::Refused, || true);
    assert_eq!(next, NextAction::RetryAfter(Duration::ZERO));
    assert_eq!(history.excluded, std::slice::from_ref(&first));
    let next = history.record_attempt(LOOKUP, &"c1".into(), AttemptOutcome::Broken, || true);
    assert_eq!(next, NextAction::RetryAfter(Duration::ZERO));
    assert_eq!(history.excluded.len(), 2);
    let mut history = AttemptHistory::default();
    let next = history.record_attempt(REMOVAL, &first, AttemptOutcome::Refused, || true);
    assert!(matches!(next, NextAction::RetryAfter(wait) if wait > Duration::ZERO));
    assert!(history.excluded.is_empty());
}

#[test]
fn a_server_error_is_returned_when_attempts_are_used_up() {
    let target = Name::from("c0");
    let mut history = AttemptHistory::default();
    let again = history.record_attempt(LOOKUP, &target, AttemptOutcome::ServerError, || true);
    assert_eq!(again, NextAction::RetryAfter(Duration::ZERO));
    let last = history.record_attempt(LOOKUP, &target, AttemptOutcome::ServerError, || true);
    assert_eq!(last, NextAction::ReturnResponse);
    assert_eq!(history.final_error(Reason::Deadline), FinalError::TimedOut);
}

#[test]
fn the_wait_for_an_owner_is_limited() {
    let start = Instant::now();
    let millis = Duration::from_millis;
    for (time_left, limit) in [(1000, 400), (10_000, 1200)] {
        let mut history = AttemptHistory::default();
        let deadline = start + millis(time_left);
        assert_eq!(
            history.poll_owner_wait(deadline, start),
            Some(start + millis(limit))
        );
        // Polling again does not prolong the wait.
        let end = history.poll_owner_wait(deadline, start + millis(limit - 1));
        assert_eq!(end, Some(start + millis(limit)));
        assert_eq!(
            history.poll_owner_wait(deadline, start + millis(limit)),
            None
        );
        history.clear_owner_wait();
        assert!(
            history
                .poll_owner_wait(deadline, start + millis(limit))
                .is_some()
        );
    }
}
