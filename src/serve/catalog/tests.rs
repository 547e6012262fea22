//! Tests of routes and keys.

use super::*;

fn route(name: &str, prefix: &str) -> Route {
    let share = |service: &str, weight| Share {
        service: service.into(),
        weight,
    };
    Route {
        name: name.into(),
        host: "x.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::AtMostOnce,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        priority: 1,
        split: vec![share("a", 3), share("b", 1)],
        max_attempts: 1,
        stages: Vec::new(),
        is_public: false,
        allowed_regions: Vec::new(),
    }
}

fn catalog() -> Catalog {
    Catalog {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        workspaces: Some(vec![Workspace {
            name: "w".into(),
            priority: None,
            allowed_regions: Vec::new(),
        }]),
        keys: IndexMap::from([("k".to_owned(), 0)]),
        ..Catalog::default()
    }
}

#[test]
fn route_longest_prefix() {
    let catalog = catalog();
    let name = |host, path| catalog.route(host, path).map(|route| &*route.name);
    assert_eq!(name("x.example", "/a/b/c"), Some("long"));
    assert_eq!(name("X.Example", "/a/c"), Some("short"));
    assert_eq!(name("x.example", "/b"), None);
    assert_eq!(name("y.example", "/a/b/c"), None);
}

#[test]
fn service_by_weight() {
    let route = route("r", "/");
    let chosen = |hash| route.service(hash).map(|service| &**service);
    let count = (0..400).filter(|hash| chosen(*hash) == Some("a")).count();
    assert_eq!(count, 300);
}

#[test]
fn service_without_weight_none() {
    let empty = Route {
        split: Vec::new(),
        ..route("r", "/")
    };
    assert_eq!(empty.service(7), None);
}

#[test]
fn workspace_of_key() {
    let catalog = catalog();
    assert_eq!(catalog.workspace("k").map(|one| &*one.name), Some("w"));
    assert!(catalog.workspace("other").is_none());
    assert!(catalog.workspace("").is_none());
}
