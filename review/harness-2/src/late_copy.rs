//! OWNER: a backend that has just restarted at its address answers 421 to a grant for its former life, and sends that
//! answer once more, late, where the answer to its own first grant is expected.

use {
    crate::{
        Verdict,
        backend::Options,
        world::{self, World},
    },
    std::{path::Path, thread, time::Duration},
};

/// Time for which a crashed backend is down.
const DOWN: Duration = Duration::from_millis(300);
/// Time for which a backend that has started is cold.
const COLD: Duration = Duration::from_secs(3);
/// Crashes, one after the other, and the time between them.
const CRASHES: usize = 4;
const PAUSE: Duration = Duration::from_secs(12);

pub fn run(paths: (&Path, &Path), has_trouble: bool) -> Verdict {
    world::play(paths, |world| hold(world, has_trouble))
}

fn hold(world: &World, has_trouble: bool) -> Result<bool, String> {
    let _instances = world.start_instances(3, "0.2", 6)?;
    thread::sleep(Duration::from_secs(6));
    for number in 0..CRASHES {
        let ended = world.backend(number);
        ended.crash();
        thread::sleep(DOWN);
        // A new lifetime, with a new id, at the same address.
        world.add_backend(Options {
            id: format!("i-{number}b"),
            service: ended.service.clone(),
            is_sharded: true,
            address: ended.address,
            zone: ended.zone.clone(),
            cold: COLD,
            copies_421: has_trouble,
        });
        if world.is_broken_within(PAUSE) {
            return Ok(false);
        }
    }
    Ok(true)
}
