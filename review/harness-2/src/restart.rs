//! DRAIN: the process that leads is killed and starts again while the store turns another machine away; meanwhile backends
//! leave without having reported that they drain.

use {
    crate::{
        Verdict,
        leaving::{CONTACT, DRAIN, Services},
        world::{self, World},
    },
    std::{
        path::Path,
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
};

const INSTANCES: usize = 3;
const ROUNDS: usize = 6;
/// Time for which the store turns a machine away.
const TURNED_AWAY: Duration = Duration::from_millis(5000);
/// Time from there to the kill of the process that leads, from the kill to the removal of the entries, and from there to
/// the start of the process.
const KILL_DELAY: Duration = Duration::from_millis(300);
const REMOVAL_DELAY: Duration = Duration::from_millis(300);
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// Time for which the backends go on serving after the machine is served again.
const SERVING: Duration = Duration::from_secs(9);

pub fn run(paths: (&Path, &Path), has_trouble: bool) -> Verdict {
    world::play(paths, |world| hold(world, has_trouble))
}

fn hold(world: &World, has_trouble: bool) -> Result<bool, String> {
    let mut services = Services::start(world);
    let mut instances = world.start_instances(INSTANCES, "0.5", 12)?;
    thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        let leader = world.leader();
        let followers: Vec<usize> = (0..INSTANCES).filter(|it| *it != leader).collect();
        let away = followers[round % followers.len()];
        let begun = Instant::now();
        if has_trouble {
            world.entrances[away].is_busy.store(true, Ordering::SeqCst);
            world
                .record
                .line(&format!("the store turns machine {away} away"));
            thread::sleep(KILL_DELAY);
            instances[leader].kill();
            let text = format!("the process of machine {leader}, which leads, is killed");
            world.record.line(&text);
        }
        thread::sleep(REMOVAL_DELAY);
        let leaving = services.begin_leaving(Duration::ZERO);
        let removed_at = Instant::now();
        thread::sleep(RESTART_DELAY);
        if has_trouble {
            instances[leader].restart(&world.repository)?;
            world
                .record
                .line(&format!("it starts again on machine {leader}"));
        }
        thread::sleep(TURNED_AWAY.saturating_sub(begun.elapsed()));
        world.entrances[away].is_busy.store(false, Ordering::SeqCst);
        world
            .record
            .line(&format!("the store serves machine {away}"));
        let limit = (removed_at + DRAIN).max(Instant::now() + CONTACT);
        thread::sleep(SERVING);
        if services.end(&leaving, limit) {
            return Ok(false);
        }
    }
    Ok(true)
}
