//! State that a running gateway drops.

mod support;

use ridgeworks_resident::view::Source;
use support::{configuration, gateway, run};

#[test]
fn splits_of_removed_routes_are_dropped() {
    run(async {
        let gateway = gateway("127.77.1.1", "").await;
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
        gateway.run_maintenance_once();
        assert_eq!(gateway.split.borrow().len(), 1);
    });
}
