//! The first line of a held demo, by which a script drives it.

use serde::Serialize;

use super::site::{PIPELINES, Site};
use super::task;

/// A daemon, for callers.
#[derive(Serialize)]
struct Door {
    address: String,
    availability_zone: String,
}

/// A pipeline that a script may call.
#[derive(Serialize)]
struct Offer {
    name: &'static str,
    workspace: String,
    key: String,
    repeatable: bool,
    example: serde_json::Value,
}

/// All that a script needs.
#[derive(Serialize)]
struct Interface {
    daemons: Vec<Door>,
    pipelines: Vec<Offer>,
    journal: String,
    faults: String,
    operators: Vec<String>,
    operators_key: String,
}

fn offer(site: &Site, pipeline: &'static str) -> Option<Offer> {
    let workspace = *task::workspaces(site, pipeline).first()?;
    let body = task::body(&workspace.name, pipeline, "example", 16);
    Some(Offer {
        name: pipeline,
        workspace: workspace.name.clone(),
        key: workspace.key.clone(),
        repeatable: task::is_repeatable(site, pipeline),
        example: serde_json::from_str(&body).unwrap_or_default(),
    })
}

fn interface(site: &Site) -> Interface {
    let members = site.crew.members();
    let offers = PIPELINES.iter().filter_map(|name| offer(site, name));
    Interface {
        daemons: members
            .iter()
            .map(|m| Door {
                address: m.address.clone(),
                availability_zone: m.zone.clone(),
            })
            .collect(),
        pipelines: offers.collect(),
        journal: site.control.url("journal"),
        faults: site.control.url("faults"),
        operators: members.into_iter().map(|m| m.operators).collect(),
        operators_key: site.settings.daemon.operators_key.clone(),
    }
}

/// Prints how the demo is reached, as one JSON line or for a person.
pub fn print(site: &Site, json: bool) {
    let interface = interface(site);
    if json {
        let line = serde_json::to_string(&interface);
        println!("{}", line.unwrap_or_default());
        return;
    }
    for daemon in &interface.daemons {
        println!(
            "daemon    {} in {}",
            daemon.address, daemon.availability_zone
        );
    }
    for offer in &interface.pipelines {
        println!("pipeline  {} with key {}", offer.name, offer.key);
    }
    println!("journal   {}", interface.journal);
    println!("faults    {}", interface.faults);
    println!("operators {}", interface.operators.join(" "));
}
