//! Provides the query for the parts of prompts that targets hold.

use std::sync::Arc;

use bergamotswitch_core::request::PrefixHash;
use bergamotswitch_core::target::PoolTarget;
use bergamotswitch_platform::cache_list;
use futures_util::{StreamExt, stream};
use http::Method;

use super::options::TargetClientOptions;
use super::stream_status::query_up_to;
use crate::input::{NodeInput, NodeSender};

/// The number of targets that are asked at once.
const MAX_QUERIES: usize = 16;

/// The maximum size in bytes of an answer.
const MAX_LIST_BYTES: usize = 2 << 20;

/// Ask the targets, and report the answer of each to the event loop.
pub(super) async fn run(
    targets: Vec<PoolTarget>,
    options: Arc<TargetClientOptions>,
    events: NodeSender,
) {
    let queries = stream::iter(targets).map(|target| async {
        let parts = query_parts(&target, &options).await;
        // The loop has ended if nobody receives it.
        let _ = events.send(NodeInput::CacheRead(target.name, parts));
    });
    queries.buffer_unordered(MAX_QUERIES).collect::<()>().await;
}

async fn query_parts(
    target: &PoolTarget,
    options: &TargetClientOptions,
) -> Option<Vec<PrefixHash>> {
    let path = cache_list::PATH;
    let body = query_up_to(MAX_LIST_BYTES, Method::GET, target.address, path, options).await;
    let parts = cache_list::read(&body.ok()?)?;
    Some(parts.into_iter().map(PrefixHash::of_part).collect())
}
