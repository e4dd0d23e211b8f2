//! OWNER: a backend is partitioned from the store, so that its entry is removed, while an entry of another writer, for
//! a service that is in no configuration, names the same address.

use {
    crate::{
        Verdict,
        world::{self, World},
    },
    std::{
        path::Path,
        sync::atomic::Ordering,
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time for which a backend is partitioned from the store.
const CUT: Duration = Duration::from_secs(8);
/// Backends that are cut off, one after the other, and the time between them.
const CUTS: usize = 4;
const PAUSE: Duration = Duration::from_secs(8);

pub fn run(paths: (&Path, &Path), has_trouble: bool) -> Verdict {
    world::play(paths, |world| hold(world, has_trouble))
}

fn hold(world: &World, has_trouble: bool) -> Result<bool, String> {
    let _instances = world.start_instances(3, "0.2", 6)?;
    thread::sleep(Duration::from_secs(5));
    for number in 0..CUTS {
        let backend = world.backend(number);
        if has_trouble {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = since_epoch.map_or(0, |it| it.as_millis() as u64);
            let entry = format!(
                r#"{{"Service":"agent","Address":"{}","Zone":"{}","Version":"v1","Slots":1,"State":"ready","ColdRemaining":"0ms","Sequence":1,"born":{born}}}"#,
                backend.address, backend.zone
            );
            let id = format!("agent-{number}");
            world.store.put("servers", &id, Some(&entry));
            let text = format!("another writer writes servers/{id}: {entry}");
            world.record.line(&text);
        }
        thread::sleep(Duration::from_secs(2));
        backend.is_cut.store(true, Ordering::SeqCst);
        let text = format!("backend {} is partitioned from the store", backend.id);
        world.record.line(&text);
        if world.is_broken_within(CUT) {
            return Ok(false);
        }
        backend.is_cut.store(false, Ordering::SeqCst);
        world
            .record
            .line(&format!("backend {} reaches the store", backend.id));
        if world.is_broken_within(PAUSE) {
            return Ok(false);
        }
    }
    Ok(true)
}
