//! Incidents that concern the whole fleet: a network partition that isolates a zone or separates the regions, and its end.

use super::network::Partition;
use super::plan::{Incident, SECOND, ZONE_COUNT};
use super::{ExternalEvent, Fleet};
use opalpulley::Micros;

/// The zone that [`Incident::ZoneCut`] isolates. It is not in the region of discovery, so the other zones keep discovery.
const ISOLATED_ZONE: u16 = ZONE_COUNT - 1;

impl Fleet<'_> {
    /// Schedules the incident of the plan, if it has one.
    pub(super) fn schedule_incident(&mut self) {
        let (from, until) = self.plan.incident_span();
        match self.plan.incident {
            Incident::None => {}
            Incident::Change => self
                .events
                .push(from, ExternalEvent::ConfigChange { is_random: false }),
            Incident::ZoneCut | Incident::RegionCut => {
                self.events
                    .push(from, ExternalEvent::Incident { begins: true });
                // One change is made during the partition and one just after it, to see when each forwarder has them.
                self.events.push(
                    (from + until) / 2,
                    ExternalEvent::ConfigChange { is_random: false },
                );
                self.events
                    .push(until, ExternalEvent::Incident { begins: false });
                self.events.push(
                    until + SECOND,
                    ExternalEvent::ConfigChange { is_random: false },
                );
            }
        }
    }

    /// Begins or ends the incident.
    pub(super) fn apply_incident(&mut self, now: Micros, begins: bool) {
        let previous = self.network.partition;
        self.network.partition = match (self.plan.incident, begins) {
            (Incident::ZoneCut, true) => Partition::Zone(ISOLATED_ZONE),
            (Incident::RegionCut, true) => Partition::Regions,
            _ => Partition::None,
        };
        if !begins {
            let propagations = self.discovery.propagate_after_partition(now, previous);
            self.schedule_discovery(propagations);
        }
        if self.plan.incident == Incident::ZoneCut {
            let (layout, receivers) = (&self.layout, &mut self.receivers);
            let all = layout.destinations.iter().zip(0..);
            all.filter(|(d, _)| d.zone == ISOLATED_ZONE)
                .for_each(|(_, n)| receivers.set_zone_isolated(now, n, begins));
            self.distribute_arrivals(now, |zone| !begins || zone != ISOLATED_ZONE);
        }
    }

    /// Spreads the message rate of the fleet evenly over the forwarders in the zones that `accepts` selects.
    fn distribute_arrivals(&mut self, now: Micros, accepts: impl Fn(u16) -> bool) {
        let accepting = self
            .forwarders
            .iter()
            .filter(|f| accepts(f.zone))
            .count()
            .max(1);
        let per_forwarder = self.plan.events_a_second / accepting as f64;
        for forwarder in &mut self.forwarders {
            let per_second = if accepts(forwarder.zone) {
                per_forwarder
            } else {
                0.0
            };
            forwarder.set_arrival_rate(now, per_second);
        }
    }
}
