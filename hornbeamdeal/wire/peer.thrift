// Messages between entry hosts of one region. Field numbers are never reused.
namespace py hornbeamdeal.wire._generated.peer

struct MemberRecord {
  1: string host_id
  2: i64 incarnation
  3: string ip
  4: i32 port
  5: string zone
  6: i32 state          // 0 alive, 1 suspect, 2 leaving, 3 dead
  7: i64 sequence       // raised by the member itself to refute a suspicion
  8: i64 version_number // document in force, 0 where none
  9: binary version_digest
  10: i32 link_mbps     // 0 where it is not known
}

// A suspicion, death or refutation of a member whose record the receiver has.
struct Accusation {
  1: string host_id
  2: i64 incarnation
  3: i64 sequence
  4: i32 state          // 0 alive, 1 suspect, 3 dead
  5: list<i32> accusers // hashes of hosts whose own probes failed
}

// Members that have one version in force, by the hash of each process.
struct VersionHolders {
  1: i64 number
  2: binary digest
  3: list<i64> holders
}

struct Ping {
  1: i64 nonce
  2: list<MemberRecord> updates
  3: list<Accusation> accusations
  4: VersionHolders version_holders
}

struct PingReply {
  1: i64 nonce
  2: list<MemberRecord> updates
  3: list<Accusation> accusations
  4: VersionHolders version_holders
}

// Asks a peer to probe a third host.
struct PingRequest {
  1: i64 nonce
  2: MemberRecord target
  3: list<MemberRecord> updates
}

// Sent by a starting host; answered with the members known.
struct JoinRequest {
  1: MemberRecord member
}

struct JoinReply {
  1: list<MemberRecord> members
  2: binary version_digest // of records that have a version but no digest
}

// Greatest version that the sender knows of a topic ("document" or "hosts").
struct VersionOffer {
  1: string topic
  2: i64 number
  3: binary digest
}

struct ManifestRequest {
  1: string topic
  2: i64 number
  3: binary digest
}

struct Manifest {
  1: string topic
  2: i64 number
  3: binary digest
  4: list<binary> segment_digests
}

struct SegmentRequest {
  1: list<binary> digests
}

struct Segment {
  1: binary digest
  2: binary content
}

struct Segments {
  1: list<Segment> segments
}

// A flow key and the 8-byte digest of the server that serves it.
struct FlowRecord {
  1: i64 key
  2: i64 server_digest
}

// Records for their owner or its backup; `complete` ends a hand-over.
struct FlowRecords {
  1: i64 version_number
  2: binary version_digest
  3: list<FlowRecord> records
  4: bool complete
}

struct RelayedPacket {
  1: string caller_ip
  2: i32 caller_port
  3: string address_ip
  4: i32 address_port
  5: binary payload
  6: i32 hops
}

struct RelayedRequest {
  1: string caller_ip
  2: i32 caller_port
  3: string address_ip
  4: i32 address_port
  5: binary datagram
  6: i32 hops
}

// The issuing incarnation is not there: its requests have unknown outcomes.
struct IncarnationGone {
  1: i64 incarnation
  2: RelayedRequest request
}

// A backend server that answers callers directly. `number` is its identity in
// the encapsulation, `revision` the store's of its entry, `created_revision` that of
// its registration.
struct DirectServer {
  1: string server_id
  2: binary number
  3: string service_name
  4: string ip
  5: i32 port
  6: string zone
  7: i32 slots
  8: bool is_draining
  9: i64 revision
  10: i64 cold_ms // how much longer the server is slow after its start
  11: i64 created_revision
}

struct DirectRoute {
  1: binary address_key
  2: string name
  3: map<string, double> weights_by_service
  4: string kind
  5: i32 priority // 0 is the highest
  6: i64 aim_ms // when callers want the answer
  7: i64 timeout_ms // when callers give up
}

struct DirectService {
  1: string name
  2: i64 cold_start_ms // how long a server is cold after its start
  3: double cold_per_s // requests that a cold server bears
}

struct DirectRoutes {
  1: i64 version
  2: i64 base_version // 0 where `routes` holds all of them
  3: list<DirectRoute> routes
  4: list<binary> removed_keys
  5: i64 idle_timeout_ms
  6: list<DirectService> services
}

// Whether a zone is evacuated since `revision`, 0 where a restored store has lost the
// evacuation. It is then in force for `remaining_ms`.
struct ZoneState {
  1: string zone
  2: bool is_evacuated
  3: i64 revision
  4: i64 remaining_ms
}

// Changes of the catalog after `base_revision`, -1 for a full copy. Revisions belong
// to an epoch of the store, which rises when it is restored from an older copy. The
// store held nothing newer `age_ms` ago. `position` is the sender's in the order of
// readers, -1 where it has none. Where `relay_groups` is above 0, the receiver
// passes the news on to its group of so many in its zone.
struct CatalogNews {
  1: i64 base_revision
  2: i64 revision
  3: i32 age_ms
  4: i32 position
  5: list<DirectServer> servers
  6: map<string, i64> removed
  7: DirectRoutes routes
  8: i32 relay_groups
  9: i64 epoch
  10: i64 base_epoch
  11: map<string, i64> withheld_ms // how much longer listed servers get no new flows
  12: bool needs_exact_base // a later base may list servers that have left since
  13: list<ZoneState> zones
  14: i64 newest_revision // of any entry that the sender's catalog may hold
  15: i64 fingerprint // of the sender's entries, absent if some are newer than `revision`
  16: i64 version // of the configuration that the sender has in force
}

// Asks for a full copy; answered over TCP. With `only_if_newer` it is answered only
// by a host that knows more than the position and version tell.
struct CatalogRequest {
  1: i64 after_revision
  2: i64 epoch
  3: i64 version
  4: bool only_if_newer
}

// A packet that a server has not reacted to. `caller` is a hash of the caller's
// address, `repetitions` is 0 for an opening packet.
struct Sign {
  1: i32 age_ms
  2: i32 caller
  3: i32 repetitions
}

// What speaks against a server, and how long ago it proved alive, -1 where that
// is not known.
struct ServerSign {
  1: string server_id
  2: list<Sign> signs
  3: i32 progress_age_ms
}

struct ServerSigns {
  1: list<ServerSign> signs
}

// Answer times of a server's requests that one host saw lately, as ratios to the mean
// of their route.
struct ServerSpeed {
  1: string server_id
  2: i32 samples
  3: double ratio_sum
}

struct ServerSpeeds {
  1: list<ServerSpeed> speeds
}

union PeerMessage {
  1: Ping ping
  2: PingReply ping_reply
  3: PingRequest ping_request
  4: JoinRequest join_request
  5: JoinReply join_reply
  6: VersionOffer version_offer
  7: ManifestRequest manifest_request
  8: Manifest manifest
  9: SegmentRequest segment_request
  10: Segments segments
  11: FlowRecords flow_records
  12: RelayedPacket relayed_packet
  13: RelayedRequest relayed_request
  14: IncarnationGone incarnation_gone
  15: CatalogNews catalog_news
  16: CatalogRequest catalog_request
  17: ServerSigns server_signs
  18: ServerSpeeds server_speeds
}

// `environments` names the sender's environment: the present name, then former ones.
struct Envelope {
  1: string host_id
  2: i64 incarnation
  3: i64 sequence
  4: PeerMessage message
  5: list<string> environments
}
