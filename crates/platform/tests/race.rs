//! Two planners that race for the epoch and for each version, on a table that loses answers, is
//! slow or down.

use {
    cowslip_platform::{
        commit::{Outcome, commit},
        table::{Condition, Row, Table, Write},
    },
    cowslip_standins::platform::{Faults, Handle, serve},
    quickcheck::{Arbitrary, Gen},
    std::{env, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// Shorter than the greatest slowness, so that writes take effect after their timeout.
const LIMIT: Duration = Duration::from_millis(30);
const WRITES: usize = 30;

struct Dice(Gen);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        u64::arbitrary(&mut self.0) % n
    }
}

/// Breaks the table in changing ways until it is stopped.
async fn break_table(handle: &Handle, dice: &mut Dice) {
    loop {
        handle.set_faults(Faults {
            down: dice.below(8) == 0,
            slow_ms: [0, 0, 5, 60][dice.below(4) as usize],
            lose_answers: dice.below(3) == 0,
            ..Faults::default()
        });
        sleep(Duration::from_millis(10 + dice.below(40))).await;
    }
}

async fn read(table: &Table, pk: &str) -> Option<Row> {
    loop {
        match table.get(pk, "-").await {
            Ok(row) => return row,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

fn row(pk: &str, version: u64, body: String) -> Row {
    Row {
        pk: pk.into(),
        sk: "-".into(),
        version,
        body,
        expires: None,
    }
}

/// Takes the next epoch; returns it if the write is recorded.
async fn take_epoch(table: &Table, name: &str, turn: u64) -> Option<u64> {
    let old = read(table, "planner").await;
    let epoch = old.map_or(1, |row| row.version + 1);
    let taken = commit(table, &row("planner", epoch, format!("{name}/{turn}")), &[]).await;
    (taken == Outcome::Done).then_some(epoch)
}

/// Appends to the assignment under ever new epochs; returns what was acknowledged, by version.
async fn planner(address: String, name: &str, mut dice: Dice) -> Vec<(u64, String)> {
    let table = Table::new(&address, "t", LIMIT);
    let mut acknowledged = Vec::new();
    for turn in 0.. {
        let Some(epoch) = take_epoch(&table, name, turn).await else {
            continue;
        };
        let check = [Write::Check {
            pk: "planner".into(),
            sk: "-".into(),
            when: Condition::Version(epoch),
        }];
        for write in 0..2 + dice.below(6) {
            let (version, mut body) = match read(&table, "assignment").await {
                Some(row) => (row.version + 1, row.body),
                None => (1, String::new()),
            };
            let id = format!("{name}/{turn}/{write}/{epoch}");
            body = format!("{body} {id}");
            // A pause between the check of its epoch and its write.
            sleep(Duration::from_millis(dice.below(20))).await;
            match commit(&table, &row("assignment", version, body), &check).await {
                Outcome::Done => acknowledged.push((version, id)),
                Outcome::Lost(_) => break,
                Outcome::Unknown => continue,
            }
            if acknowledged.len() >= WRITES {
                return acknowledged;
            }
        }
        sleep(Duration::from_millis(dice.below(30))).await;
    }
    acknowledged
}

async fn race(seed: u64) {
    let dice = |salt| Dice(Gen::from_size_and_seed(100, seed * 10 + salt));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let handle = serve(listener).unwrap();
    let address = handle.address().to_string();
    let mut chaos = dice(0);
    let planners = async {
        tokio::join!(
            planner(address.clone(), "a", dice(1)),
            planner(address.clone(), "b", dice(2)),
        )
    };
    let (a, b) = tokio::select! {
        both = planners => both,
        () = break_table(&handle, &mut chaos) => unreachable!("breaks until it is stopped"),
    };
    handle.set_faults(Faults::default());
    // Writes on their way have taken effect or been refused once a later read is answered.
    sleep(Duration::from_millis(100)).await;
    let table = Table::new(&address, "t", Duration::from_secs(5));
    let last = read(&table, "assignment").await.unwrap();
    let history: Vec<&str> = last.body.split_whitespace().collect();
    assert_eq!(
        history.len() as u64,
        last.version,
        "seed {seed}: a version was reverted"
    );
    for (version, id) in a.iter().chain(&b) {
        let recorded = history.get(*version as usize - 1);
        assert_eq!(
            recorded,
            Some(&&**id),
            "seed {seed}: version {version} did not survive"
        );
    }
    let epoch = |id: &&str| id.rsplit('/').next().unwrap().parse::<u64>().unwrap();
    let epochs: Vec<u64> = history.iter().map(epoch).collect();
    assert!(
        epochs.is_sorted(),
        "seed {seed}: a replaced planner wrote: {epochs:?}"
    );
    assert!(
        epochs.last() > Some(&2),
        "seed {seed}: the planners did not race"
    );
}

#[tokio::test]
async fn racing_planners_never_lose_or_revert_an_acknowledged_version() {
    let random = env::var("COWSLIP_FUZZ_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    let seeds: Vec<u64> = match random {
        None => (0..2).collect(),
        Some(n) => (0..n)
            .map(|_| u64::arbitrary(&mut Gen::new(100)) / 16)
            .collect(),
    };
    for seed in seeds {
        println!("seed {seed}");
        race(seed).await;
    }
}
