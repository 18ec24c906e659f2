//! What a gateway lets go of while it runs.

use prometheus_client::registry::Registry;
use ridgeworks_gateway::Gateway;
use ridgeworks_gateway::metrics::GatewayMetrics;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::view::Source;
use ridgeworks_routing::{
    CallerLimits, RequestKind, Residency, Route, RouteConfiguration, Service, WeightedService,
};

const SETTINGS: &str = r#"
role = "gateway"
name = "gateway-1"
zone = "zone-a"
address = "127.77.1.1"
peer_port = 27390
[listen]
callers = "127.77.1.1:27391"
readiness = "127.77.1.1:27392"
[limits]
memory_mb = 48
descriptors = 4100
[platform]
store = "127.77.1.1:27393"
[bounds]
grace_s = 8
contact_ms = 3000
configuration_ms = 2000
lost_machines = 1
"#;

fn configuration(version: u64, routes: &[&str]) -> RouteConfiguration {
    let routes = routes.iter().map(|name| Route {
        name: (*name).to_owned(),
        host: "app.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_target_ms: 0,
        priority: 1,
        services: vec![WeightedService {
            service: "tools".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        resumable: false,
        keeps_turns: false,
        retention_ms: 0,
        is_public: false,
        residency: Residency::anywhere(),
    });
    RouteConfiguration {
        version,
        routes: routes.collect(),
        services: vec![Service {
            name: "tools".to_owned(),
            max_connections: 10,
            model: None,
            warm_up: None,
        }],
        limits: CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: None,
    }
}

#[test]
fn splits_of_removed_routes_are_forgotten() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let settings = NodeSettings::parse(SETTINGS).expect("settings");
        let node = Node::bind(settings, Clock::start()).await.expect("a node");
        let metrics = GatewayMetrics::register(&mut Registry::default());
        let gateway = Gateway::new(node, metrics);
        let view = &gateway.node.view;
        let names = ["kept", "removed"];
        view.adopt_configuration(configuration(1, &names), Source::Store);
        let routes = view.routes().expect("routes");
        for name in names {
            let route = routes.find("app.example", &format!("/{name}/x"));
            gateway.next_service(route.expect("a route"));
        }
        assert_eq!(gateway.split.borrow().len(), 2);
        view.adopt_configuration(configuration(2, &names[..1]), Source::Store);
        gateway.tidy_once();
        assert_eq!(gateway.split.borrow().len(), 1);
    });
}
