// The operator's file of this platform. `limerudder check --schema` prints what may stand here.
// It is read where LIMERUDDER_FILE names it; the run line in balancer.toml does not, so nodes here go without.

log: {
    format: "text"
    lines:  5
    per:    10s
}

// The store stays off on this platform: nodes have no disk that outlives them and only short datagrams between them.
// On an installation that has both, each node's file says where its part of the store lives:
//
// store: {
//     folder: "/var/lib/limerudder/n0"
//     listen: "10.0.0.4:7950"
// }
