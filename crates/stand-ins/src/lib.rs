//! Stand-ins for engines, the platform and tool services, and a relay that injects link faults.
