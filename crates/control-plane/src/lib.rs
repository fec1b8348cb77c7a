//! Control of the policy: which generation holds, who may act under it and until when, and when a change may take its
//! next step. The decisions are those of [`badgerramp_policy`]; here are the replicas' agreement, the store, the channel.
#![forbid(unsafe_code)]
#![expect(clippy::similar_names, reason = "names are still to be told apart")]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are still to be split"
)]

mod check;
pub mod cli;
mod decommission;
mod fallback;
mod leader;
mod network;
mod progress;
mod regions;
mod rejections;
pub mod server;
pub mod settings;
mod status;
pub mod store;
