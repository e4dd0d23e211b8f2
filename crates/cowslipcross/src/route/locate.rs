//! Finds the place that an attempt goes to.

use {
    super::{Route, job::Job},
    crate::work::Aim,
    cowslip_decide::{
        member::View,
        names::{Fence, Name},
    },
};

/// Instance and destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Instance that holds the target.
    pub holder: Name,
    /// Target or pool.
    pub aim: Aim,
}

/// Returns where to send a request by the view in force, or `None` while it has no place.
pub fn locate(route: &Route, job: &Job) -> Option<Place> {
    let view = route.context.view.load();
    let view = view.as_ref()?;
    match job.key {
        Some((_, hash)) => owner(view, job, hash),
        None => pool(route, view, job),
    }
}

fn owner(view: &View, job: &Job, hash: u64) -> Option<Place> {
    let owner = view.owner(&job.service, hash)?;
    let holder = view.holder(&owner.target)?.clone();
    let aim = Aim::Owner {
        target: owner.target.clone(),
        fence: Fence(owner.fence.0),
    };
    Some(Place { holder, aim })
}

/// Picks the pool with the fewest requests of this instance for each target.
fn pool(route: &Route, view: &View, job: &Job) -> Option<Place> {
    let state = route.state();
    let load = |pool: &Name, targets: usize| {
        let outstanding = state.outstanding.get(pool).copied().unwrap_or_default();
        u64::from(outstanding) * POOL_SCALE / targets.max(1) as u64
    };
    let best = view
        .pools(&job.service)
        .filter_map(|(pool, targets)| {
            let holder = targets.iter().find_map(|target| view.holder(target))?;
            Some((load(pool, targets.len()), pool, holder))
        })
        .min_by_key(|(load, ..)| *load)?;
    let (_, pool, holder) = best;
    Some(Place {
        holder: holder.clone(),
        aim: Aim::Pool(pool.clone()),
    })
}

/// Scale of the load of a pool, so that small differences count.
const POOL_SCALE: u64 = 1024;
