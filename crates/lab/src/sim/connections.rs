//! Connections between forwarders and endpoints: kept while they are idle, opened at a cost, limited by the endpoint.

use super::Sim;
use opalpulley::Micros;
use rand::Rng;
use std::collections::BTreeMap;

/// Connections to one endpoint: how many are in use, and since when each idle one is idle, by forwarder.
#[derive(Default)]
pub(super) struct Connections {
    pub in_use: u32,
    pub idle: BTreeMap<u32, Vec<Micros>>,
}

impl Connections {
    fn open(&self) -> usize {
        self.in_use as usize + self.idle.values().map(Vec::len).sum::<usize>()
    }

    /// Takes an idle connection of this forwarder that has been idle for less than `max_idle`, where there is one.
    fn take_idle(&mut self, forwarder: u32, now: Micros, max_idle: Micros) -> bool {
        let Some(idle) = self.idle.get_mut(&forwarder) else {
            return false;
        };
        idle.retain(|since| since + max_idle > now);
        idle.pop().is_some()
    }

    /// Forgets the connections that the endpoint has closed.
    fn close_idle(&mut self, now: Micros, idle_timeout: Micros) {
        for idle in self.idle.values_mut() {
            idle.retain(|since| since + idle_timeout > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// What it takes until a call's bytes can leave on its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectDelay {
    /// The way there and back and the handshake, µs; 0 on an idle connection.
    pub setup: Micros,
    /// How late the connection comes up beside that, µs.
    pub late: Micros,
}

impl Sim {
    /// Takes an idle connection or opens one; none where the endpoint takes no more.
    pub(super) fn connect(&mut self, forwarder: u32, endpoint: usize) -> Option<ConnectDelay> {
        let group = &self.scenario.destinations[self.layout.endpoints[endpoint].group];
        let idle_timeout = group.idle_timeout.0;
        let limit = group.max_connections as usize;
        let handshake = group.handshake.0;
        let connections = &mut self.connections[endpoint];
        // A forwarder leaves a connection alone a tenth before the endpoint closes it.
        if connections.take_idle(forwarder, self.now, idle_timeout - idle_timeout / 10) {
            connections.in_use += 1;
            return Some(ConnectDelay { setup: 0, late: 0 });
        }
        if limit > 0 && connections.open() >= limit {
            connections.close_idle(self.now, idle_timeout);
            if connections.open() >= limit {
                return None;
            }
        }
        connections.in_use += 1;
        self.tally.counts.handshakes += 1;
        Some(ConnectDelay {
            setup: 2 * self.scenario.network.delay.0 + handshake,
            late: self.draw_lateness(),
        })
    }

    /// How late a new connection comes up, µs; 0 for most.
    fn draw_lateness(&mut self) -> Micros {
        let Some(late) = &self.scenario.network.late_connections else {
            return 0;
        };
        if !self.connection_rng.random_bool(late.share) {
            return 0;
        }
        self.connection_rng.random_range(0..=late.most.0)
    }

    /// Gives the connection of an attempt back: idle again, or closed.
    pub(super) fn release_connection(&mut self, forwarder: u32, endpoint: usize, usable: bool) {
        let connections = &mut self.connections[endpoint];
        connections.in_use = connections.in_use.saturating_sub(1);
        if usable {
            let idle = connections.idle.entry(forwarder).or_default();
            idle.push(self.now);
        }
    }
}
