//! Simulated service discovery. Each forwarder holds one watch (a long poll) open, which is answered when the endpoint list
//! has changed or the watch times out. A change is made in one place and reaches the discovery server of each forwarder
//! after a random delay. Bytes are counted as those of the protocol's JSON bodies and HTTP heads. All discovery servers are
//! in the first region.

use super::layout::{forwarder_zone, region, Layout};
use super::network::{Network, Partition};
use crate::random::seeded_rng;
use opalpulley::{EndpointEntry, EndpointStatus, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;

/// Range of the delay from a change until the discovery server of a forwarder has it, in µs.
const PROPAGATION_DELAY: Range<Micros> = 350_000..2_200_000;
/// Time for which a watch stays open if nothing changes, in µs, as the forwarder requests it.
const WATCH_TIMEOUT: Micros = 5_000_000;
/// Time beyond [`WATCH_TIMEOUT`] for which the forwarder waits for the response, in µs.
const RESPONSE_GRACE: Micros = 2_000_000;
/// Delay of the forwarder between a failed request and the next one, in µs.
const RETRY_DELAY: Micros = 150_000;
/// Number of changes that discovery retains. A forwarder that is further behind receives the complete list.
const MAX_RETAINED_CHANGES: usize = 256;

/// One change of the endpoint list. Its revision is its position among all changes, counted from 1.
pub struct ConfigChange {
    /// Simulated time at which discovery accepted the change, in µs.
    pub made_at: Micros,
    /// The entries that the change adds, replaces or removes.
    pub entries: Vec<EndpointEntry>,
    /// Simulated time at which the core of each forwarder had applied the change, in µs, indexed by the forwarder's number;
    /// `None` until it has.
    pub in_force_at: Vec<Option<Micros>>,
}

/// The watch of one forwarder, as its discovery server keeps it.
#[derive(Clone, Default)]
struct Watch {
    /// Latest revision that has reached the server.
    available_revision: usize,
    /// Latest revision that a response to the forwarder has included.
    sent_revision: usize,
    /// Number of watches that the forwarder has opened. Timeouts of earlier watches are ignored.
    sequence: u32,
    /// Whether a request awaits its response.
    open: bool,
}

/// A scheduled event of discovery.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryEvent {
    /// The discovery server of this forwarder has received all changes up to a revision.
    ChangeAvailable { forwarder: u32, revision: usize },
    /// The forwarder sends its next request.
    WatchOpens { forwarder: u32 },
    /// The watch with this sequence number has been open for [`WATCH_TIMEOUT`].
    WatchTimesOut { forwarder: u32, sequence: u32 },
}

/// A response in transit to a forwarder.
pub struct ListResponse {
    /// Simulated time of its arrival, in µs.
    pub arrives_at: Micros,
    /// Whether `entries` is the complete list instead of the changed entries.
    pub complete: bool,
    /// Latest revision that the entries include.
    pub revision: usize,
    pub entries: Arc<Vec<EndpointEntry>>,
}

/// The endpoint list, its changes, and the watch of each forwarder.
pub struct Discovery {
    /// All changes of the run, in order.
    pub changes: Vec<ConfigChange>,
    /// Indexed by the forwarder's number.
    watches: Vec<Watch>,
    /// The complete list: one entry for each destination, indexed by its number.
    current_entries: Vec<EndpointEntry>,
    rng: Pcg64Mcg,
}

impl Discovery {
    /// Creates the list of the layout at revision 0, with no watch open.
    pub fn new(seed: u64, forwarders: u32, layout: &Layout) -> Discovery {
        let all = layout.destinations.iter().zip(0..);
        Discovery {
            changes: Vec::new(),
            watches: vec![Watch::default(); forwarders as usize],
            current_entries: all
                .map(|(d, n)| layout.list_entry(n, 0, d.rate, EndpointStatus::Ready))
                .collect(),
            rng: seeded_rng(seed, "discovery", 0),
        }
    }

    /// Returns the complete list, which each forwarder receives at its start.
    pub fn complete_list(&self) -> &[EndpointEntry] {
        &self.current_entries
    }

    /// Draws the time at which each forwarder opens its first watch. The times differ because the forwarders of a fleet
    /// don't start at the same time.
    pub fn initial_watches(&mut self) -> Vec<(Micros, DiscoveryEvent)> {
        let forwarders = 0..self.watches.len() as u32;
        forwarders
            .map(|forwarder| {
                (
                    self.rng.random_range(0..WATCH_TIMEOUT),
                    DiscoveryEvent::WatchOpens { forwarder },
                )
            })
            .collect()
    }

    /// Applies a change to the list. Returns the events by which it reaches the discovery server of each forwarder.
    pub fn apply_change(
        &mut self,
        now: Micros,
        entries: Vec<EndpointEntry>,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        for entry in entries
            .iter()
            .filter(|entry| entry.status != EndpointStatus::Removed)
        {
            let index = super::layout::destination_of(entry.endpoint) as usize;
            self.current_entries[index] = entry.clone();
        }
        let in_force_at = vec![None; self.watches.len()];
        self.changes.push(ConfigChange {
            made_at: now,
            entries,
            in_force_at,
        });
        self.propagate(now, |_| true)
    }

    /// Sends the current revision to the discovery servers of the forwarders that a healed partition had separated. Returns
    /// the events by which it reaches them.
    pub fn propagate_after_partition(
        &mut self,
        now: Micros,
        healed: Partition,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        self.propagate(now, |forwarder| !is_reachable(healed, forwarder))
    }

    /// Draws the time at which the current revision reaches the discovery server of each included forwarder.
    fn propagate(
        &mut self,
        now: Micros,
        includes: impl Fn(u32) -> bool,
    ) -> Vec<(Micros, DiscoveryEvent)> {
        let revision = self.changes.len();
        let forwarders = (0..self.watches.len() as u32).filter(|f| includes(*f));
        let rng = &mut self.rng;
        forwarders
            .map(|forwarder| {
                let at = now + rng.random_range(PROPAGATION_DELAY);
                (
                    at,
                    DiscoveryEvent::ChangeAvailable {
                        forwarder,
                        revision,
                    },
                )
            })
            .collect()
    }

    /// Handles an event that is due, and adds the events that follow from it to `follow_ups`. Returns a forwarder and the
    /// response in transit to it, if the event causes a response with changes.
    pub fn handle(
        &mut self,
        now: Micros,
        event: DiscoveryEvent,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        match event {
            DiscoveryEvent::ChangeAvailable {
                forwarder,
                revision,
            } => {
                let watch = &mut self.watches[forwarder as usize];
                // The partition keeps the change from this forwarder's server; `propagate_after_partition` sends the
                // revision that is current when the partition heals.
                if !is_reachable(network.partition, forwarder) {
                    return None;
                }
                watch.available_revision = watch.available_revision.max(revision);
                if !watch.open || watch.available_revision <= watch.sent_revision {
                    return None;
                }
                self.respond(now, forwarder, network, follow_ups)
            }
            DiscoveryEvent::WatchOpens { forwarder } => {
                self.open_watch(now, forwarder, network, follow_ups)
            }
            DiscoveryEvent::WatchTimesOut {
                forwarder,
                sequence,
            } => {
                let watch = &self.watches[forwarder as usize];
                if !watch.open || watch.sequence != sequence {
                    return None;
                }
                self.respond(now, forwarder, network, follow_ups)
            }
        }
    }

    /// Opens a watch for a forwarder. It is answered at once if there is a newer revision, and otherwise stays open until
    /// there is one or it times out. A request that a partition loses is repeated after the forwarder's timeout.
    fn open_watch(
        &mut self,
        now: Micros,
        forwarder: u32,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        let watch = &mut self.watches[forwarder as usize];
        network.control[forwarder as usize]
            .list_out
            .add_http_message(request_bytes(watch.sent_revision));
        watch.sequence += 1;
        if !is_reachable(network.partition, forwarder) {
            let reopens_at = now + WATCH_TIMEOUT + RESPONSE_GRACE + RETRY_DELAY;
            follow_ups.push((reopens_at, DiscoveryEvent::WatchOpens { forwarder }));
            return None;
        }
        watch.open = true;
        if watch.available_revision > watch.sent_revision {
            return self.respond(now, forwarder, network, follow_ups);
        }
        let sequence = watch.sequence;
        let timeout = DiscoveryEvent::WatchTimesOut {
            forwarder,
            sequence,
        };
        follow_ups.push((now + WATCH_TIMEOUT, timeout));
        None
    }

    /// Answers the open watch with the changes since the last response, or with none if it has timed out. Returns the
    /// response only if it holds changes.
    fn respond(
        &mut self,
        now: Micros,
        forwarder: u32,
        network: &mut Network,
        follow_ups: &mut Vec<(Micros, DiscoveryEvent)>,
    ) -> Option<(u32, ListResponse)> {
        let watch = &mut self.watches[forwarder as usize];
        watch.open = false;
        let next_watch = DiscoveryEvent::WatchOpens { forwarder };
        if !is_reachable(network.partition, forwarder) {
            follow_ups.push((now + RESPONSE_GRACE + RETRY_DELAY, next_watch));
            return None;
        }
        let arrives_at = now + network.call_delay();
        follow_ups.push((arrives_at + network.call_delay(), next_watch));
        let (from, revision) = (watch.sent_revision, watch.available_revision);
        watch.sent_revision = revision;
        let complete = revision - from > MAX_RETAINED_CHANGES;
        let entries = match complete {
            true => self.current_entries.clone(),
            false => self.entries_between(from, revision),
        };
        network.control[forwarder as usize]
            .list_in
            .add_http_message(response_bytes(revision, complete, &entries));
        let response = ListResponse {
            arrives_at,
            complete,
            revision,
            entries: Arc::new(entries),
        };
        (revision > from).then_some((forwarder, response))
    }

    /// Returns the entries of the changes after revision `from` up to `revision`.
    fn entries_between(&self, from: usize, revision: usize) -> Vec<EndpointEntry> {
        let changes = self.changes[from..revision].iter();
        changes.flat_map(|change| change.entries.clone()).collect()
    }

    /// Records that all changes up to a revision are in force at a forwarder.
    pub fn mark_in_force(&mut self, now: Micros, forwarder: u32, revision: usize) {
        for change in self.changes[..revision].iter_mut().rev() {
            let at = &mut change.in_force_at[forwarder as usize];
            if at.is_some() {
                return;
            }
            *at = Some(now);
        }
    }
}

/// Returns whether a forwarder can exchange data with discovery during a partition.
fn is_reachable(partition: Partition, forwarder: u32) -> bool {
    match partition {
        Partition::None => true,
        Partition::Zone(zone) => forwarder_zone(forwarder) != zone,
        Partition::Regions => region(forwarder_zone(forwarder)) == 0,
    }
}

/// Returns the size of a request for the changes after a revision, in bytes.
fn request_bytes(sent_revision: usize) -> u64 {
    let wait = WATCH_TIMEOUT / 1_000;
    let head = format!(
        "GET /discovery/hosts?index={sent_revision}&wait={wait} HTTP/1.1\r\nhost: 10.255.0.1:8500\r\n\r\n"
    );
    head.len() as u64
}

/// Returns the size of a response with its head and body, in bytes.
pub fn response_bytes(revision: usize, complete: bool, entries: &[EndpointEntry]) -> u64 {
    let empty_body_length = json!({"revision": revision, "complete": complete, "members": []})
        .to_string()
        .len();
    let members: usize = entries
        .iter()
        .map(|entry| member_json(entry).len() + 1)
        .sum();
    let body_length = empty_body_length + members.saturating_sub(1);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body_length}\r\n\r\n"
    );
    (head.len() + body_length) as u64
}

/// Formats an entry of the list as a member in the protocol's JSON.
fn member_json(entry: &EndpointEntry) -> String {
    let destination = super::layout::destination_of(entry.endpoint);
    let phase = match entry.status {
        EndpointStatus::Ready => "Ready",
        EndpointStatus::Draining => "Terminating",
        EndpointStatus::Removed => "Gone",
    };
    let address = SocketAddrV4::new(Ipv4Addr::from(entry.endpoint.address), entry.endpoint.port);
    json!({"id": format!("t{destination}-{}", entry.endpoint.incarnation), "host_port": address.to_string(),
        "locality": format!("zone-{}", entry.zone.0), "flavor": "partner", "cell": destination,
        "phase": phase, "size": entry.rate, "up_since_ms": 0})
    .to_string()
}
