//! Checks of what must always hold.

use {
    super::{Evidence, id_of},
    crate::{
        caller::{Fault, Sent},
        target::record::{Held, Run},
    },
    cowslip_decide::verdict::Verdict,
    std::{collections::BTreeMap, fmt},
};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An order runs at most once.
    OnceOnly,
    /// A refusal `not-run` is true.
    TrueRefusal,
    /// An answer `ran` is on the record of a target.
    TrueAnswer,
    /// A key has at most one owner.
    OneOwner,
    /// A cold target bears what it holds.
    ColdLimit,
    /// A leaving target and a withdrawn data centre get no new work.
    NoNewWork,
    /// An answer is whole, has a verdict and belongs to its request.
    OwnAnswer,
}

/// A promise that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// Which one.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.detail)
    }
}

/// Returns every promise that did not hold.
pub fn check(evidence: &Evidence<'_>) -> Vec<Broken> {
    let mut broken = Vec::new();
    orders(evidence, &mut broken);
    ranges(evidence, &mut broken);
    fences(evidence, &mut broken);
    work(evidence, &mut broken);
    answers(evidence, &mut broken);
    broken
}

fn note(broken: &mut Vec<Broken>, promise: Promise, detail: String) {
    broken.push(Broken { promise, detail });
}

fn orders(evidence: &Evidence<'_>, broken: &mut Vec<Broken>) {
    let mut runs: BTreeMap<&str, Vec<(&str, &Run)>> = BTreeMap::new();
    for record in evidence.records {
        for run in record.runs.iter().filter(|run| !run.body.is_empty()) {
            let at = runs.entry(id_of(&run.body)).or_default();
            at.push((&record.name, run));
        }
    }
    let whole = evidence.records.iter().all(|record| record.dropped == 0);
    let mut sends: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    for sent in evidence.history {
        let kind = &evidence.kinds[sent.kind];
        if kind.method != http::Method::GET {
            sends.entry(&sent.id).or_default().push(sent);
        }
    }
    for (id, sends) in sends {
        let at = runs.get(id).map_or(&[][..], Vec::as_slice);
        let kind = &evidence.kinds[sends[0].kind];
        let ran = |sent: &&&Sent| sent.verdict == Some(Verdict::Ran) && sent.status == 200;
        if at.len() > 1 && !kind.repeatable {
            let detail = format!("order {id} ran {} times: {at:?}", at.len());
            note(broken, Promise::OnceOnly, detail);
        }
        if !at.is_empty() && sends.iter().all(|s| s.verdict == Some(Verdict::NotRun)) {
            let detail = format!("{id} was answered not-run: {:?}, and ran: {at:?}", sends[0]);
            note(broken, Promise::TrueRefusal, detail);
        }
        if at.is_empty() && whole && sends.iter().any(|sent| ran(&sent)) {
            let detail = format!("{id} was answered ran and is on no record");
            note(broken, Promise::TrueAnswer, detail);
        }
    }
}

fn ranges(evidence: &Evidence<'_>, broken: &mut Vec<Broken>) {
    let mut held: Vec<(&str, &Held)> = Vec::new();
    for record in evidence.records {
        held.extend(
            record
                .held
                .iter()
                .map(|range| (record.name.as_str(), range)),
        );
    }
    held.sort_by_key(|(_, range)| range.from);
    for (place, (name, a)) in held.iter().enumerate() {
        let later = held[place + 1..]
            .iter()
            .take_while(|(_, b)| b.from < a.until);
        for (other, b) in later {
            let meet = a.service == b.service && a.start <= b.end && b.start <= a.end;
            if name != other && meet {
                let detail = format!("{name} held {a:?} while {other} held {b:?}");
                note(broken, Promise::OneOwner, detail);
            }
        }
    }
}

fn fences(evidence: &Evidence<'_>, broken: &mut Vec<Broken>) {
    let mut keys: BTreeMap<(&str, u64), Vec<(&str, &Run)>> = BTreeMap::new();
    for record in evidence.records {
        for run in record.runs.iter().filter(|run| run.fence > 0) {
            let key = keys.entry((&record.service, run.hash)).or_default();
            key.push((&record.name, run));
        }
    }
    for runs in keys.values_mut() {
        runs.sort_by_key(|(_, run)| run.start);
        for pair in runs.windows(2) {
            let [(name, a), (other, b)] = pair else {
                continue;
            };
            // What a frozen target had begun ends when it thaws, whoever owns the key by then.
            let meet = name != other && !a.frozen && (b.start < a.end || a.end == 0);
            if b.fence < a.fence || meet {
                let detail = format!("{name} ran {a:?} before {other} ran {b:?}");
                note(broken, Promise::OneOwner, detail);
            }
        }
    }
}

fn work(evidence: &Evidence<'_>, broken: &mut Vec<Broken>) {
    let notice = evidence.notice.as_micros() as u64;
    for record in evidence.records {
        for breach in &record.breaches {
            note(
                broken,
                Promise::ColdLimit,
                format!("{} {breach:?}", record.name),
            );
        }
        let withdrawn = evidence
            .withdrawals
            .iter()
            .filter(|withdrawal| withdrawal.data_centre == record.data_centre)
            .map(|withdrawal| (withdrawal.from, withdrawal.until));
        let leaving = record.leaving.map(|from| (from, u64::MAX));
        for (from, until) in withdrawn.chain(leaving) {
            let window = from + notice..until;
            let late: Vec<_> = record
                .runs
                .iter()
                .filter(|r| window.contains(&r.start))
                .collect();
            if let Some(last) = late.last() {
                let after = (last.start - from) / 1000;
                let detail = format!(
                    "{}: {} runs, the last {after} ms after",
                    record.name,
                    late.len()
                );
                note(broken, Promise::NoNewWork, detail);
            }
        }
    }
}

fn answers(evidence: &Evidence<'_>, broken: &mut Vec<Broken>) {
    for sent in evidence.history {
        if let Some(Fault::Foreign | Fault::Unjudged) = sent.fault {
            note(broken, Promise::OwnAnswer, format!("{sent:?}"));
        }
    }
}
