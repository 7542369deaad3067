//! Clients: they hand a packet in when it is due, come again after a deferral, and go elsewhere when a forwarder is not there.

use super::{Happening, Packet, Sim};
use crate::load::Due;
use crate::oracle::{Final, Taking};
use crate::tally::Tick;
use opalpulley::{
    AttemptHistory, DeliveryClassId, DestinationId, MessageId, Micros, OrderKey, Submission,
    TenantId,
};
use rand::Rng;

const ELSEWHERE: Micros = 50_000; // after a connection that was refused
const SILENT: Micros = 400_000; // a client waits so long for the answer to its request
const COME_BACK: Micros = 1_000_000; // where no time was told
const TRIES: u32 = 20; // of a client that finds no forwarder

/// No tenant: the core finds no share for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// What becomes of a hand-in at once.
pub(super) enum Answered {
    Taken,
    Deferred(Option<Micros>),
    WrittenOff,
}

impl Sim {
    pub(super) fn packet_due(&mut self, due: Due) {
        let packet = self.next_packet;
        self.next_packet += 1;
        self.tally.due(self.now, due.profile);
        let expires = self.now + due.left;
        self.packets.insert(
            packet,
            Packet {
                expires,
                returns: due.returns,
                again: false,
                tries: 0,
                due,
            },
        );
        self.hand_in(packet);
    }

    pub(super) fn hand_in(&mut self, number: u64) {
        let Some(packet) = self.packets.get_mut(&number) else {
            return;
        };
        if self.now >= packet.expires {
            return self.given_up(number);
        }
        let forwarder = self.clients.random_range(0..self.stations.len());
        let station = &self.stations[forwarder];
        if !station.up() || station.paused {
            packet.tries += 1;
            let (tries, after) = (
                packet.tries,
                if station.paused { SILENT } else { ELSEWHERE },
            );
            self.tally.counts.turned_away += 1;
            return match tries < TRIES {
                true => self.arrange(self.now + after, Happening::HandIn { packet: number }),
                false => self.given_up(number),
            };
        }
        self.tally.counts.hand_ins += 1;
        if station.open.len() >= self.scenario.forwarders.room as usize {
            self.tally.counts.turned_away += 1;
            return self.come_again(number, None);
        }
        let duty = self.next_duty;
        self.next_duty += 1;
        let packet = &self.packets[&number];
        let left = packet.expires - self.now;
        let in_order = self.scenario.profiles[usize::from(packet.due.profile)].in_order;
        let key = in_order.then_some(packet.due.key);
        let taking = Taking {
            duty,
            packet: number,
            forwarder: forwarder as u32,
            expires: packet.expires,
            profile: packet.due.profile,
            destination: packet.due.destination,
            key,
        };
        let arrival = Submission {
            id: MessageId(0),
            class: DeliveryClassId(packet.due.profile),
            tenant: packet.due.tenant.map_or(NO_TENANT, TenantId),
            key: key.map(|k| OrderKey(k + 1)),
            time_left: left,
            destination: DestinationId(packet.due.destination),
            resubmitted: packet.again,
            history: AttemptHistory::default(),
        };
        let expires = packet.expires;
        self.oracle.handed_in(taking);
        match self.take_on(forwarder as u32, number, duty, expires, arrival) {
            Answered::Taken => self.oracle.taken(duty),
            Answered::Deferred(come_back) => {
                self.oracle.refused(duty, self.now);
                self.tally.counts.deferrals += 1;
                self.come_again(number, come_back);
            }
            Answered::WrittenOff => {
                self.oracle.refused(duty, self.now);
                self.written_off(number);
            }
        }
    }

    /// The client was asked to come back later.
    pub(super) fn come_again(&mut self, number: u64, come_back: Option<Micros>) {
        self.tally.tick(self.now, Tick::Deferred);
        let Some(packet) = self.packets.get_mut(&number) else {
            return;
        };
        let wait = come_back.unwrap_or(COME_BACK);
        if packet.returns == 0 || self.now + wait >= packet.expires {
            return self.given_up(number);
        }
        packet.returns -= 1;
        packet.again = true;
        // By chance a tenth longer: clients do not all keep the same time.
        let at = self.now + wait + (wait as f64 * 0.1 * self.clients.random::<f64>()) as Micros;
        self.arrange(at, Happening::HandIn { packet: number });
    }

    fn given_up(&mut self, number: u64) {
        if self.packets.remove(&number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }

    pub(super) fn written_off(&mut self, number: u64) {
        if self.packets.remove(&number).is_some() {
            self.tally.counts.written_off += 1;
            self.tally.tick(self.now, Tick::WrittenOff);
        }
    }

    /// A final answer that came after the packet was taken on.
    pub(super) fn final_answer(
        &mut self,
        number: u64,
        duty: u64,
        end: Final,
        come_back: Option<Micros>,
        trip: u32,
    ) {
        self.oracle.ended(duty, end, self.now);
        match end {
            Final::Served => {
                let Some(packet) = self.packets.remove(&number) else {
                    return;
                };
                match self.now <= packet.expires {
                    true => {
                        let took = self.now - packet.due.at;
                        self.tally
                            .served(self.now, took, packet.due.profile, trip, packet.again);
                    }
                    false => self.tally.counts.written_off += 1,
                }
            }
            Final::Deferred => {
                self.tally.counts.deferrals += 1;
                self.come_again(number, come_back);
            }
            Final::WrittenOff => self.written_off(number),
        }
    }
}
