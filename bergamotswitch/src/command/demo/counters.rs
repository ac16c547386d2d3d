//! Provides the counters of the demo's hosts, added up.

use std::net::SocketAddr;
use std::ops::Sub;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_net::metrics::METRIC_PREFIX;

use crate::command::client;
use crate::command::error::CommandError;

/// A `FleetCounters` is what all hosts have counted so far of what callers
/// do not see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FleetCounters {
    /// Attempts that followed another one.
    pub retried: u64,
    /// Streams that went on over a new connection.
    pub resumed: u64,
    /// Resubmissions that got their first submission's answer.
    pub attached: u64,
}

impl FleetCounters {
    /// Try to read the counters of all hosts.
    pub async fn read(hosts: &[SocketAddr]) -> Result<Self, CommandError> {
        let mut counters = FleetCounters::default();
        for host in hosts {
            let answer = client::get(*host, "/metrics").await?;
            let page = String::from_utf8_lossy(&answer.body);
            counters.retried += sum_series(&page, &format!("{METRIC_PREFIX}_retries_total{{"));
            counters.resumed += sum_series(&page, &incident_series(Incident::StreamResumed));
            counters.attached +=
                sum_series(&page, &incident_series(Incident::ResubmissionAttached));
        }
        Ok(counters)
    }
}

impl Sub for FleetCounters {
    type Output = FleetCounters;

    fn sub(self, earlier: FleetCounters) -> FleetCounters {
        FleetCounters {
            retried: self.retried - earlier.retried,
            resumed: self.resumed - earlier.resumed,
            attached: self.attached - earlier.attached,
        }
    }
}

fn incident_series(incident: Incident) -> String {
    let number = incident.number();
    format!("{METRIC_PREFIX}_incidents_total{{number=\"{number}\"}}")
}

/// Get the sum of the series whose lines begin with `series`.
fn sum_series(page: &str, series: &str) -> u64 {
    let lines = page.lines().filter(|line| line.starts_with(series));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    values.sum()
}
