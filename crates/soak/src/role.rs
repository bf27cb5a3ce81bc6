//! The roles of the processes around the mixers. A process finds its role in the environment.

use anyhow::Result;
use serde::{Deserialize, Serialize};

use crate::{agent, clients, proxy, searcher};

/// The environment variable that holds the role of a process, as JSON.
pub const ROLE_VARIABLE: &str = "SOAK_ROLE";

/// What a process does.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    Searcher(searcher::Setup),
    Proxy(proxy::Setup),
    Agent(agent::Setup),
    Clients(clients::Setup),
}

/// Serves the role of the environment until the runner ends; returns at once if there is none.
pub fn serve() -> Result<()> {
    let Ok(text) = std::env::var(ROLE_VARIABLE) else { return Ok(()) };
    match serde_json::from_str(&text)? {
        Role::Searcher(setup) => searcher::serve(setup)?,
        Role::Proxy(setup) => proxy::serve(setup)?,
        Role::Agent(setup) => agent::serve(setup)?,
        Role::Clients(setup) => clients::serve(setup)?,
    }
    // Ends the threads that still serve connections.
    std::process::exit(0)
}
