//! DRAIN: backends leave without having reported that they drain, so that their entries are removed. In a drill the
//! store comes back from a copy some seconds old, in which the entries still are, until they are removed once more.

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

const INSTANCES: usize = 4;
const DRILLS: usize = 3;
/// Time from the copy to the removal of the entries, and from there to the drill.
const COPY_LEAD: Duration = Duration::from_millis(500);
const REMOVAL_LEAD: Duration = Duration::from_millis(2500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time after which the platform removes the entries again.
const REWRITE: Duration = Duration::from_millis(300);
/// Time for which the backends go on serving after the drill.
const SERVING: Duration = Duration::from_secs(12);

pub fn run(paths: (&Path, &Path), has_trouble: bool) -> Verdict {
    world::play(paths, |world| hold(world, has_trouble))
}

fn hold(world: &World, has_trouble: bool) -> Result<bool, String> {
    let mut services = Services::start(world);
    let _instances = world.start_instances(INSTANCES, "0.2", 6)?;
    thread::sleep(Duration::from_secs(6));
    let mut is_broken = false;
    for _ in 0..DRILLS {
        let copy = world.store.copy();
        world.record.line("the store is copied");
        thread::sleep(COPY_LEAD);
        let leaving = services.begin_leaving(Duration::ZERO);
        let removed_at = Instant::now();
        thread::sleep(REMOVAL_LEAD);
        if has_trouble {
            world.record.line("the store is away");
            set_busy(world, true);
            thread::sleep(AWAY);
            world.store.restore(&copy);
            set_busy(world, false);
            world.record.line("the store is back from the copy");
            thread::sleep(REWRITE);
            services.remove_entries(&leaving);
        }
        let limit = (removed_at + DRAIN).max(Instant::now() + CONTACT);
        thread::sleep(SERVING);
        is_broken |= services.end(&leaving, limit);
    }
    Ok(!is_broken)
}

fn set_busy(world: &World, is_busy: bool) {
    for entrance in &world.entrances {
        entrance.is_busy.store(is_busy, Ordering::SeqCst);
    }
}
