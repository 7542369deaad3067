//! Simulated connections between forwarders and endpoints. Opening one takes time, an idle one is reused until its idle timeout,
//! and each endpoint limits their number.

use super::Sim;
use opalpulley::Micros;
use rand::Rng;
use std::collections::BTreeMap;

/// The connections to one endpoint: the number in use, and the instants at which idle ones became idle, µs, by forwarder.
#[derive(Default)]
pub(super) struct Connections {
    pub in_use: u32,
    pub idle: BTreeMap<u32, Vec<Micros>>,
}

impl Connections {
    fn open_count(&self) -> usize {
        self.in_use as usize + self.idle.values().map(Vec::len).sum::<usize>()
    }

    /// Takes a connection of this forwarder that has been idle for less than `max_idle`, and returns whether there was one.
    fn take_idle(&mut self, forwarder: u32, now: Micros, max_idle: Micros) -> bool {
        let Some(idle) = self.idle.get_mut(&forwarder) else {
            return false;
        };
        idle.retain(|since| since + max_idle > now);
        idle.pop().is_some()
    }

    /// Removes the connections that the endpoint has closed after its idle timeout.
    fn close_idle(&mut self, now: Micros, idle_timeout: Micros) {
        for idle in self.idle.values_mut() {
            idle.retain(|since| since + idle_timeout > now);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// The delay until the bytes of a call can leave on its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectDelay {
    /// Network round trip and handshake of a new connection, µs; 0 for an idle connection.
    pub setup: Micros,
    /// Additional delay until the connection is established, µs.
    pub lateness: Micros,
}

impl Sim {
    /// Takes an idle connection or opens a new one. Returns `None` if the endpoint accepts no more connections.
    pub(super) fn connect(&mut self, forwarder: u32, endpoint: usize) -> Option<ConnectDelay> {
        let group = &self.scenario.destinations[self.layout.endpoints[endpoint].group_index];
        let idle_timeout = group.idle_timeout.0;
        let limit = group.max_connections as usize;
        let handshake = group.handshake.0;
        let connections = &mut self.connections[endpoint];
        // A forwarder stops reusing a connection when a tenth of the idle timeout is left, before the endpoint closes it.
        if connections.take_idle(forwarder, self.now, idle_timeout - idle_timeout / 10) {
            connections.in_use += 1;
            return Some(ConnectDelay {
                setup: 0,
                lateness: 0,
            });
        }
        if limit > 0 && connections.open_count() >= limit {
            connections.close_idle(self.now, idle_timeout);
            if connections.open_count() >= limit {
                return None;
            }
        }
        connections.in_use += 1;
        self.tally.counts.handshakes += 1;
        Some(ConnectDelay {
            setup: 2 * self.scenario.network.delay.0 + handshake,
            lateness: self.draw_lateness(),
        })
    }

    /// Draws the additional delay of a new connection, µs; 0 for most connections.
    fn draw_lateness(&mut self) -> Micros {
        let Some(late) = &self.scenario.network.late_connections else {
            return 0;
        };
        if !self.connection_rng.random_bool(late.share) {
            return 0;
        }
        self.connection_rng.random_range(0..=late.most.0)
    }

    /// Returns the connection of an attempt to the idle ones if it is `usable`, and closes it otherwise.
    pub(super) fn release_connection(&mut self, forwarder: u32, endpoint: usize, usable: bool) {
        let connections = &mut self.connections[endpoint];
        connections.in_use = connections.in_use.saturating_sub(1);
        if usable {
            let idle = connections.idle.entry(forwarder).or_default();
            idle.push(self.now);
        }
    }
}
