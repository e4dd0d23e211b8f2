//! Backends that leave without having reported that they drain: their entries are removed, and they go on serving for
//! many seconds.

use {
    crate::{
        backend::{Backend, Options},
        deployment,
        world::{OTHER_SERVICES, World, ZONES},
    },
    std::{
        sync::{Arc, atomic::Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Bounds `Drain` and `Contact`.
pub const DRAIN: Duration = Duration::from_millis(2000);
pub const CONTACT: Duration = Duration::from_millis(3000);
/// Backends of each service that is not divided by key.
const BACKENDS: usize = 5;

/// The backends of the services that are not divided by key, without those that leave.
pub struct Services<'a> {
    world: &'a World,
    backends: Vec<Vec<Arc<Backend>>>,
    started: usize,
}

impl<'a> Services<'a> {
    pub fn start(world: &'a World) -> Self {
        let mut services = Self {
            world,
            backends: vec![Vec::new(); OTHER_SERVICES.len()],
            started: 0,
        };
        (0..BACKENDS).for_each(|_| services.add_backends());
        services
    }

    /// Starts another backend of each service.
    fn add_backends(&mut self) {
        let number = self.started;
        self.started += 1;
        for (service, backends) in self.backends.iter_mut().enumerate() {
            backends.push(self.world.add_backend(Options {
                id: format!("i-{number}{}", ["s", "t", "u"][service]),
                service: OTHER_SERVICES[service].into(),
                is_sharded: false,
                address: deployment::free_address(),
                zone: ZONES[number % ZONES.len()].into(),
                cold: Duration::ZERO,
                copies_421: false,
            }));
        }
    }

    /// Removes the entry of the oldest backend of each service, one after the other; returns these backends, which go on
    /// serving.
    pub fn begin_leaving(&mut self, gap: Duration) -> Vec<Arc<Backend>> {
        let oldest = self.backends.iter_mut().map(|it| it.remove(0));
        let leaving: Vec<Arc<Backend>> = oldest.collect();
        for (number, backend) in leaving.iter().enumerate() {
            if number > 0 {
                thread::sleep(gap);
            }
            backend.is_cut.store(true, Ordering::SeqCst);
            self.remove_entries(std::slice::from_ref(backend));
        }
        leaving
    }

    pub fn remove_entries(&self, leaving: &[Arc<Backend>]) {
        for backend in leaving {
            self.world.store.put("servers", &backend.id, None);
            let text = format!("servers/{} is removed", backend.id);
            self.world.record.line(&text);
        }
    }

    /// Ends the backends that leave, and starts others in their place. Returns whether one of them has run requests that
    /// were sent after the limit.
    pub fn end(&mut self, leaving: &[Arc<Backend>], limit: Instant) -> bool {
        let late = leaving.iter().map(|it| self.find_late(it, limit));
        let is_broken = late.fold(false, |any, is_late| any | is_late);
        leaving.iter().for_each(|it| it.crash());
        self.add_backends();
        thread::sleep(Duration::from_secs(2));
        leaving.iter().for_each(|it| self.report_lost(it, limit));
        is_broken
    }

    fn find_late(&self, backend: &Backend, limit: Instant) -> bool {
        let record = &self.world.record;
        let late = record.ran_after(&backend.id, limit);
        if late.is_empty() {
            return false;
        }
        record.line(&format!(
            "BROKEN, DRAIN: {} requests have reached {}, sent over {} ms after its entry was removed and over {} ms \
             after the disruption: {}",
            late.len(),
            backend.id,
            DRAIN.as_millis(),
            CONTACT.as_millis(),
            late.join(" ")
        ));
        true
    }

    /// Records the late requests that were in progress when the backend ended, and got no answer of it.
    fn report_lost(&self, backend: &Backend, limit: Instant) {
        let record = &self.world.record;
        for id in record.ran_after(&backend.id, limit) {
            let status = record.status(&id);
            if status != 200 {
                record.line(&format!(
                    "{id} was cut when {} ended; answer {status}",
                    backend.id
                ));
            }
        }
    }
}
