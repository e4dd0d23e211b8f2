//! Heartbeats and their acknowledgements.

use {
    crate::peer,
    cowslip_decide::{
        assign::Losses,
        member::{Ack, Heartbeat, Settled},
        names::{Incarnation, Name, Version},
    },
    std::collections::BTreeSet,
};

fn texts(names: &BTreeSet<Name>) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn names(texts: Vec<String>) -> BTreeSet<Name> {
    texts.into_iter().map(Name::from).collect()
}

impl From<&Heartbeat> for peer::Heartbeat {
    fn from(beat: &Heartbeat) -> Self {
        let loads = |loads: &std::collections::BTreeMap<Name, _>| peer::Loads {
            loads: loads.iter().map(peer::Load::from).collect(),
        };
        let seen = beat
            .seen
            .iter()
            .map(|(name, run)| (name.to_string(), run.0));
        Self {
            from: beat.from.to_string(),
            incarnation: beat.incarnation.0,
            seq: beat.seq,
            version: beat.version.0,
            config: beat.config.0,
            synced: beat.synced,
            leased: beat.leased,
            floor: beat.floor.0,
            quiet: beat.quiet.0,
            losses: Some((&beat.losses).into()),
            doubts: texts(&beat.doubts),
            silent: texts(&beat.silent),
            settled: beat.settled.as_ref().map(peer::Settled::from),
            withheld: texts(&beat.withheld),
            seen: seen.collect(),
            loads: beat.loads.as_ref().map(loads),
            clock: 0,
            data_centre: String::new(),
            leaving: false,
        }
    }
}

impl From<peer::Heartbeat> for Heartbeat {
    fn from(beat: peer::Heartbeat) -> Self {
        let seen = beat
            .seen
            .into_iter()
            .map(|(name, run)| (name.into(), Incarnation(run)));
        Self {
            from: beat.from.into(),
            incarnation: Incarnation(beat.incarnation),
            seq: beat.seq,
            version: Version(beat.version),
            config: Version(beat.config),
            synced: beat.synced,
            leased: beat.leased,
            floor: Version(beat.floor),
            quiet: Version(beat.quiet),
            losses: beat.losses.map(Losses::from).unwrap_or_default(),
            doubts: names(beat.doubts),
            silent: names(beat.silent),
            settled: beat.settled.map(Settled::from),
            withheld: names(beat.withheld),
            seen: seen.collect(),
            loads: beat
                .loads
                .map(|loads| loads.loads.into_iter().map(Into::into).collect()),
        }
    }
}

impl From<&Settled> for peer::Settled {
    fn from(settled: &Settled) -> Self {
        Self {
            version: settled.version.0,
            targets: texts(&settled.targets),
        }
    }
}

impl From<peer::Settled> for Settled {
    fn from(settled: peer::Settled) -> Self {
        Self {
            version: Version(settled.version),
            targets: names(settled.targets),
        }
    }
}

impl From<&Ack> for peer::Ack {
    fn from(ack: &Ack) -> Self {
        Self {
            from: ack.from.to_string(),
            incarnation: ack.incarnation.0,
            echo: ack.echo.0,
            seq: ack.seq,
            clock: 0,
        }
    }
}

impl From<peer::Ack> for Ack {
    fn from(ack: peer::Ack) -> Self {
        Self {
            from: ack.from.into(),
            incarnation: Incarnation(ack.incarnation),
            echo: Incarnation(ack.echo),
            seq: ack.seq,
        }
    }
}
