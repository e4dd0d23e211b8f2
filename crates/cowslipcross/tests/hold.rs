//! The holding duty against a target on loopback: verdicts, whole answers, limits, authority.

mod fake;

use {
    cowslip_decide::{
        duty::HoldReport,
        key::key_hash,
        verdict::{Reason, Verdict},
    },
    cowslipcross::{
        hold::HoldCommand,
        work::{Aim, Outcome},
    },
    fake::{Bench, Fake, Held, PLAIN, document, duty, ended, until},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

fn end_of(outcome: &Outcome) -> (Verdict, Option<Reason>) {
    (outcome.verdict, outcome.reason)
}

#[tokio::test]
async fn each_caller_gets_its_own_whole_answer_and_each_request_runs_once() {
    for fence in [false, true] {
        let fake = Fake::start().await;
        let bench = &mut Bench::start(&[&fake], Held { fence, ..PLAIN }).await;
        let mut ends = Vec::new();
        for n in 0..60 {
            let work = bench.owned(&format!("k{n}/ sleep{}", n % 3));
            ends.push((n, bench.send(work).await));
        }
        for (n, end) in ends {
            let outcome = ended(end).await;
            assert_eq!(end_of(&outcome), (Verdict::Ran, None), "{n}");
            let body = format!("/run/k{n}%2F%20sleep{} body of k{n}/ sleep{}", n % 3, n % 3);
            assert_eq!(outcome.body, body);
        }
        let mut record = fake.record();
        assert!(record.most <= 2, "{}", record.most);
        record.ran.sort();
        record.ran.dedup();
        assert_eq!(record.ran.len(), 60);
        assert_eq!(record.grants.is_empty(), !fence);
    }
}

#[tokio::test]
async fn a_verdict_follows_from_what_was_seen() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let cases = [
        ("ok", Verdict::Ran, None, 200),
        ("error", Verdict::Ran, None, 500),
        ("shed", Verdict::NotRun, Some(Reason::Shed), 503),
        ("barred", Verdict::NotRun, Some(Reason::Shed), 503),
        ("cut-length", Verdict::MayHaveRun, Some(Reason::Broken), 502),
        ("cut-chunk", Verdict::MayHaveRun, Some(Reason::Broken), 502),
        (
            "cut-unmarked",
            Verdict::MayHaveRun,
            Some(Reason::Broken),
            502,
        ),
        ("long", Verdict::MayHaveRun, Some(Reason::Broken), 502),
        ("again", Verdict::Ran, None, 200),
    ];
    for (key, verdict, reason, status) in cases {
        let mut work = bench.owned(key);
        work.deadline = Instant::now() + Duration::from_millis(400);
        let outcome = bench.end(work).await;
        assert_eq!(end_of(&outcome), (verdict, reason), "{key}");
        assert_eq!(outcome.status, status, "{key}");
        let empty = verdict != Verdict::Ran;
        assert_eq!(outcome.body.is_empty(), empty, "{key}");
        sleep(Duration::from_millis(500 * u64::from(status == 502))).await;
    }
}

#[tokio::test]
async fn nothing_is_sent_without_lease_range_fence_or_place() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let hash = key_hash("k");
    bench
        .hold([("t0".into(), duty(hash, hash, 1))].into())
        .await;
    let work = bench_work(bench, "k", 1);
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    let wrong = (Verdict::NotRun, Some(Reason::WrongHolder));
    for (key, fence) in [("other", 1), ("k", 2), ("k", 0)] {
        let work = bench_work(bench, key, fence);
        assert_eq!(end_of(&bench.end(work).await), wrong);
    }
    let mut work = bench.owned("k");
    work.service = "another".into();
    assert_eq!(end_of(&bench.end(work).await), wrong);
    let work = bench.pooled("k");
    assert_eq!(end_of(&bench.end(work).await), wrong);
    bench.command(HoldCommand::Lease(None)).await;
    let work = bench.owned("k");
    let outcome = bench.end(work).await;
    assert_eq!(end_of(&outcome), (Verdict::NotRun, Some(Reason::NoLease)));
    assert_eq!(fake.record().arrived.len(), 1);
}

fn bench_work(bench: &mut Bench, key: &str, fence: u64) -> cowslipcross::work::Work {
    let aim = Aim::Owner {
        target: "t0".into(),
        fence: cowslip_decide::names::Fence(fence),
    };
    bench.work(key, aim)
}

#[tokio::test]
async fn what_waits_when_the_lease_ends_is_not_run() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let work = bench.owned("first-sleep300");
    let first = bench.send(work).await;
    until(|| fake.record().running == 1).await;
    let work = bench.owned("second");
    let second = bench.send(work).await;
    bench.command(HoldCommand::Lease(None)).await;
    let outcome = ended(second).await;
    assert_eq!(end_of(&outcome), (Verdict::NotRun, Some(Reason::NoLease)));
    assert_eq!(ended(first).await.verdict, Verdict::Ran);
    assert_eq!(fake.record().arrived.len(), 1);
}

#[tokio::test]
async fn a_range_is_settled_only_after_its_requests_and_its_grant() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(
        &[&fake],
        Held {
            fence: true,
            ..PLAIN
        },
    )
    .await;
    bench.settled(1).await;
    let work = bench.owned("slow-sleep400");
    let slow = bench.send(work).await;
    until(|| fake.record().running == 1).await;
    let work = bench.owned("waits");
    let waits = bench.send(work).await;
    let queued = |report| match report {
        HoldReport::Loads(loads) => (loads.get("t0")?.queued == 1).then_some(()),
        _ => None,
    };
    bench.report(queued).await;
    let seq = bench.hold(BTreeMap::new()).await;
    let outcome = ended(waits).await;
    assert_eq!(
        end_of(&outcome),
        (Verdict::NotRun, Some(Reason::WrongHolder))
    );
    bench.settled(seq).await;
    {
        let record = fake.record();
        assert_eq!(record.ran.len(), 1);
        assert_eq!(record.running, 0);
        assert!(record.grants.last().unwrap().1.is_empty());
    }
    assert_eq!(ended(slow).await.verdict, Verdict::Ran);
}

#[tokio::test]
async fn a_grant_of_a_frozen_target_is_waited_out() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(
        &[&fake],
        Held {
            fence: true,
            ..PLAIN
        },
    )
    .await;
    until(|| fake.record().grants.iter().any(|(stamp, _)| *stamp > 0)).await;
    fake.record().frozen = true;
    let granted = fake.record().grants.len();
    let seq = bench.hold(BTreeMap::new()).await;
    bench.settled(seq).await;
    let record = fake.record();
    let last = record
        .grants
        .iter()
        .rev()
        .find(|(stamp, _)| *stamp > 0)
        .unwrap();
    assert_eq!(record.grants.len(), granted);
    let age = fake.clock() - last.0;
    assert!(
        age >= 400,
        "settled {age} ms after the stamp of the last grant"
    );
}

#[tokio::test]
async fn a_restarted_target_is_cold() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    for round in 0..3 {
        let mut ends = Vec::new();
        for n in 0..60 {
            let work = bench.owned(&format!("a{round}-{n}-sleep2"));
            ends.push(bench.send(work).await);
        }
        for end in ends {
            assert_eq!(ended(end).await.verdict, Verdict::Ran);
        }
        assert_eq!(fake.record().most, 2, "the limit grew");
        fake.restart();
        let mut ends = Vec::new();
        for n in 0..12 {
            let work = bench.owned(&format!("b{round}-{n}-sleep2"));
            ends.push(bench.send(work).await);
        }
        for (n, end) in ends.into_iter().enumerate() {
            let unrun = ended(end).await.verdict == Verdict::NotRun;
            let path = format!("/run/b{round}-{n}-sleep2");
            let arrived = fake.record().arrived.contains(&path);
            assert!(!(unrun && arrived), "{path} arrived and is called not run");
        }
        assert_eq!(fake.record().most, 1, "cold after a restart");
    }
}

#[tokio::test]
async fn a_silent_connection_is_found_and_replaced() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], Held { cold: 2, ..PLAIN }).await;
    for key in ["silent-parked", "silent-lost"] {
        let work = bench.owned(key);
        let deadline = work.deadline;
        let silent = bench.send(work).await;
        let outcome = ended(silent).await;
        assert!(Instant::now() + Duration::from_secs(10) < deadline);
        let verdict = match key {
            "silent-parked" => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        assert_eq!(end_of(&outcome), (verdict, Some(Reason::Broken)), "{key}");
        let work = bench.owned("after");
        assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    }
}

#[tokio::test]
async fn a_deadline_ends_a_request_with_the_true_verdict() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let mut work = bench.owned("silent");
    work.deadline = Instant::now() + Duration::from_millis(150);
    let running = bench.send(work).await;
    until(|| !fake.record().arrived.is_empty()).await;
    let mut work = bench.owned("waits");
    work.deadline = Instant::now() + Duration::from_millis(20);
    let waiting = bench.send(work).await;
    let deadline = Some(Reason::Deadline);
    assert_eq!(end_of(&ended(waiting).await), (Verdict::NotRun, deadline));
    let outcome = ended(running).await;
    assert_eq!(end_of(&outcome), (Verdict::MayHaveRun, deadline));
    assert_eq!(outcome.status, 504);
    until(|| !fake.record().cancelled.is_empty()).await;
    let work = bench.owned("after");
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
}

#[tokio::test]
async fn what_nobody_waits_for_is_cancelled() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let work = bench.owned("silent-parked");
    let id = work.request.to_string();
    let running = bench.send(work).await;
    until(|| !fake.record().arrived.is_empty()).await;
    let work = bench.owned("waits");
    let waiting = bench.send(work).await;
    drop((running, waiting));
    until(|| fake.record().cancelled.contains(&id)).await;
    let work = bench.owned("after");
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    assert_eq!(fake.record().arrived.len(), 2);
}

#[tokio::test]
async fn a_leaving_target_of_a_pool_gets_no_new_work() {
    let (one, two) = (Fake::start().await, Fake::start().await);
    let held = Held {
        divided: false,
        ..PLAIN
    };
    let bench = &mut Bench::start(&[&one, &two], held).await;
    one.record().leaving = true;
    let leaving = |report| match report {
        HoldReport::Loads(loads) => loads.get("t0")?.leaving.then_some(()),
        _ => None,
    };
    bench.report(leaving).await;
    let before = one.record().arrived.len();
    for n in 0..20 {
        let work = bench.pooled(&format!("k{n}"));
        assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    }
    assert_eq!(one.record().arrived.len(), before);
    two.record().leaving = true;
    let both = |report| match report {
        HoldReport::Loads(loads) => loads.get("t1")?.leaving.then_some(()),
        _ => None,
    };
    bench.report(both).await;
    let work = bench.pooled("last");
    let outcome = bench.end(work).await;
    assert_eq!(end_of(&outcome), (Verdict::NotRun, Some(Reason::NoOwner)));
}

#[tokio::test]
async fn a_target_that_answers_nothing_is_reported_until_it_does() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(
        &[&fake],
        Held {
            fence: true,
            ..PLAIN
        },
    )
    .await;
    bench.settled(1).await;
    let listed = |wanted: bool| {
        move |report| match report {
            HoldReport::Loads(loads) => (loads.contains_key("t0") == wanted).then_some(()),
            _ => None,
        }
    };
    bench.report(listed(true)).await;
    fake.record().frozen = true;
    let silent = |report| matches!(report, HoldReport::Silent { .. }).then_some(());
    bench.report(silent).await;
    bench.report(silent).await;
    // A silent target would get new ranges if its load were reported.
    bench.report(listed(false)).await;
    fake.record().frozen = false;
    bench.report(listed(true)).await;
    let work = bench.owned("after");
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
}

#[tokio::test]
async fn a_stop_finishes_what_was_taken_and_releases_the_grants() {
    let fake = Fake::start().await;
    let mut bench = Bench::start(
        &[&fake],
        Held {
            fence: true,
            ..PLAIN
        },
    )
    .await;
    let mut ends = Vec::new();
    for n in 0..10 {
        let work = bench.owned(&format!("k{n}-sleep20"));
        ends.push(bench.send(work).await);
    }
    until(|| fake.record().running > 0).await;
    bench.command(HoldCommand::Stop).await;
    sleep(Duration::from_millis(30)).await;
    let work = bench.owned("late");
    let late = bench.end(work).await;
    assert_eq!(end_of(&late), (Verdict::NotRun, Some(Reason::Stopping)));
    for end in ends {
        assert_eq!(ended(end).await.verdict, Verdict::Ran);
    }
    let thread = bench.handle.thread;
    until(|| thread.is_finished()).await;
    assert_eq!(fake.record().ran.len(), 10);
    assert!(fake.record().grants.last().unwrap().1.is_empty());
}

#[tokio::test]
async fn a_hedge_goes_to_another_target_and_only_for_what_may_be_repeated() {
    let (one, two) = (Fake::start().await, Fake::start().await);
    let held = Held {
        divided: false,
        cold: 2,
        ..PLAIN
    };
    let bench = &mut Bench::start(&[&one, &two], held).await;
    for n in 0..60 {
        let mut work = bench.pooled(&format!("k{n}"));
        work.repeatable = true;
        assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    }
    let arrivals = |key: &str| {
        let count = |fake: &Fake| {
            let record = fake.record();
            record
                .arrived
                .iter()
                .filter(|path| path.contains(key))
                .count()
        };
        (count(&one), count(&two))
    };
    let mut work = bench.pooled("slow-sleep400");
    work.repeatable = true;
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    assert_eq!(arrivals("slow-"), (1, 1));
    let work = bench.pooled("once-sleep400");
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
    let (first, second) = arrivals("once-");
    assert_eq!(first + second, 1);
}

/// No planner moves anything here, as when the table is down after the withdrawal.
#[tokio::test]
async fn a_withdrawn_owner_is_given_up_by_its_holder_alone() {
    let fake = Fake::start().await;
    let bench = &mut Bench::start(&[&fake], PLAIN).await;
    let first = bench.owned("before");
    assert_eq!(bench.end(first).await.verdict, Verdict::Ran);
    let mut withdrawn = document(&[&fake], PLAIN);
    withdrawn.withdrawn.insert("dc".into());
    bench
        .command(HoldCommand::Document(Arc::new(withdrawn)))
        .await;
    // The loss is proposed although the target answers, so that its standby takes over.
    let given_up = |report| matches!(report, HoldReport::Silent { .. }).then_some(());
    bench.report(given_up).await;
    let arrived = fake.record().arrived.len();
    let work = bench.owned("after");
    assert_eq!(
        end_of(&bench.end(work).await),
        (Verdict::NotRun, Some(Reason::NoOwner))
    );
    assert_eq!(fake.record().arrived.len(), arrived);
    let restored = HoldCommand::Document(Arc::new(document(&[&fake], PLAIN)));
    bench.command(restored).await;
    let work = bench.owned("restored");
    assert_eq!(bench.end(work).await.verdict, Verdict::Ran);
}

/// A key must be served again within a second of a loss, however long its requests may take.
#[tokio::test]
async fn a_request_at_a_silent_target_does_not_hold_its_range_back() {
    let fake = Fake::start().await;
    let held = Held {
        fence: true,
        ..PLAIN
    };
    let bench = &mut Bench::start(&[&fake], held).await;
    bench.settled(1).await;
    let first = bench.owned("before");
    assert_eq!(bench.end(first).await.verdict, Verdict::Ran);
    let mut work = bench.owned("silent-lost");
    work.deadline = Instant::now() + Duration::from_secs(3600);
    let end = bench.send(work).await;
    until(|| {
        let arrived = &fake.record().arrived;
        arrived.iter().any(|path| path.ends_with("silent-lost"))
    })
    .await;
    fake.record().frozen = true;
    let seq = bench.hold(BTreeMap::new()).await;
    bench.settled(seq).await;
    let outcome = ended(end).await;
    assert_eq!(
        end_of(&outcome),
        (Verdict::MayHaveRun, Some(Reason::Broken))
    );
}
