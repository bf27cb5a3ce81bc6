//! The processes that stand in for a mixer's surroundings: which one, told by the environment.

use anyhow::Result;
use serde::{Deserialize, Serialize};

use crate::{agent, clients, proxy, searcher};

/// The variable that names the role of a process, as JSON.
pub const VARIABLE: &str = "SOAK_ROLE";

/// What a process is to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    Searcher(searcher::Setup),
    Proxy(proxy::Setup),
    Agent(agent::Setup),
    Clients(clients::Setup),
}

/// Serves the role that the environment names until its runner has gone; returns at once where it names none.
pub fn serve() -> Result<()> {
    let Ok(text) = std::env::var(VARIABLE) else { return Ok(()) };
    match serde_json::from_str(&text)? {
        Role::Searcher(setup) => searcher::serve(setup)?,
        Role::Proxy(setup) => proxy::serve(setup)?,
        Role::Agent(setup) => agent::serve(setup)?,
        Role::Clients(setup) => clients::serve(setup)?,
    }
    // Threads that still serve end with the process.
    std::process::exit(0)
}
