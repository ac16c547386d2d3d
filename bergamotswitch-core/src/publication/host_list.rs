//! Provides the JSON reader of the host list.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::duplicates::{refuse_duplicate_addresses, refuse_duplicate_names};
use super::json_node::{JsonNode, ReadJson};
use super::named_choice::read_choice;
use super::object_reader::ObjectReader;
use crate::error::Findings;
use crate::host::{EntryHost, HostList, Standing, TargetStanding};

/// The allowed CPU capacities of a host, in thousandths of a core.
const CAPACITY_RANGE: RangeInclusive<u64> = 0..=1_000_000;

/// A `ConnectAddress` is an address to which connections can be opened: its port
/// is not 0, and its IP address is neither unspecified nor multicast.
pub(crate) struct ConnectAddress(pub(crate) SocketAddr);

impl ReadJson for ConnectAddress {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let address = SocketAddr::read(node, findings)?;
        if address.port() == 0 {
            node.refuse(findings, "a port from 1 to 65535");
            return None;
        }
        let ip = address.ip().to_canonical();
        if ip.is_unspecified() || ip.is_multicast() {
            // A caller that connects to 0.0.0.0, a common listen address,
            // reaches itself.
            node.refuse(findings, "the IP address of one machine");
            return None;
        }
        Some(ConnectAddress(address))
    }
}

impl ReadJson for HostList {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let hosts = object.required("hosts");
        let targets = match object.take("targets") {
            Some(list) => read_targets(&list, object.findings()),
            None => Some(Vec::new()),
        };
        object.finish();
        refuse_duplicate_hosts(node, findings);
        Some(HostList {
            hosts: hosts?,
            targets: targets?,
        })
    }
}

/// Try to read the target list. Unlike other lists it may be empty, which means
/// that no target is draining.
fn read_targets(list: &JsonNode<'_>, findings: &mut Findings) -> Option<Vec<TargetStanding>> {
    match list.is_empty_list() {
        true => Some(Vec::new()),
        false => ReadJson::read(list, findings),
    }
}

fn refuse_duplicate_hosts(node: &JsonNode<'_>, findings: &mut Findings) {
    let hosts = node.field("hosts").map(|list| list.elements());
    let hosts = hosts.unwrap_or_default();
    refuse_duplicate_names(&hosts, findings);
    // Caller and link listeners bind separately, so all addresses must differ.
    let addresses: Vec<JsonNode<'_>> = hosts
        .iter()
        .flat_map(|host| [host.field("caller_address"), host.field("link_address")])
        .flatten()
        .collect();
    refuse_duplicate_addresses(&addresses, findings);
    let targets = node.field("targets").map(|list| list.elements());
    refuse_duplicate_names(&targets.unwrap_or_default(), findings);
}

impl ReadJson for EntryHost {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let domain = object.required("domain");
        let caller_address = object.required::<ConnectAddress>("caller_address");
        let link_address = object.required::<ConnectAddress>("link_address");
        let capacity = object.number("capacity", &CAPACITY_RANGE);
        let standing = object.or_default("standing");
        object.finish();
        Some(EntryHost {
            name: name?,
            domain: domain?,
            caller_address: caller_address?.0,
            link_address: link_address?.0,
            capacity: capacity?.unwrap_or_default() as u32,
            standing: standing?,
        })
    }
}

impl ReadJson for TargetStanding {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let mut object = ObjectReader::open(node, findings)?;
        let name = object.required("name");
        let standing = object.or_default("standing");
        object.finish();
        Some(TargetStanding {
            name: name?,
            standing: standing?,
        })
    }
}

impl ReadJson for Standing {
    fn read(node: &JsonNode<'_>, findings: &mut Findings) -> Option<Self> {
        let choices = [("live", Standing::Live), ("leaving", Standing::Leaving)];
        read_choice(node, &choices, findings)
    }
}
