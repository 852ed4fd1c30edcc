"""Direct server return: backend servers answer callers without passing a host.

Hosts see only the callers' packets. Each packet carries a handle from which any
host finds the flow's server.
"""

from hornbeamdeal._lazy import attach

__getattr__, __dir__, __all__ = attach(
    __name__,
    {
        "_answer_times": ["AnswerTimes"],
        "_arrival_bound": ["ArrivalBound"],
        "_base": [
            "AnswerObserver",
            "CallerPacket",
            "Journal",
            "PacketCodec",
            "Transmit",
        ],
        "_catalog": ["FLOW_LIFETIME_SECONDS", "Catalog"],
        "_catalog_log": ["log_changed_zones", "log_loaded"],
        "_catalog_reader": ["CatalogReader"],
        "_driver": ["Node"],
        "_eligibility": ["Eligibility"],
        "_environment": ["EnvironmentCheck"],
        "_evacuations": ["ZoneEvacuations"],
        "_explanation": ["explain_opening"],
        "_field_checks": [
            "MAXIMUM_MILLISECONDS",
            "MAXIMUM_SLOTS",
            "SERVER_NUMBER_BYTES",
            "check_integer",
            "check_number",
            "check_text",
            "check_weights",
        ],
        "_flow_table": ["Flow", "FlowTable"],
        "_forwarder": ["Forwarder"],
        "_handles": ["HandleIndex"],
        "_link_queue": ["LinkQueue"],
        "_news_codec": ["MalformedUpdateError", "decode_news", "encode_news"],
        "_outstanding_requests": ["OutstandingRequests"],
        "_overload": ["OverloadAdmission"],
        "_packet_io": ["PacketSender", "forward_pending", "log_unexpected_error"],
        "_packet_socket": ["open_packet_socket"],
        "_peer_sync": ["PeerSync", "reader_order"],
        "_peering": ["Peering"],
        "_placement": [
            "ExpectedWait",
            "FewestPlaced",
            "LeastOutstanding",
            "Placement",
            "TwoChoices",
            "make_placement",
        ],
        "_read_scheduler": ["CONTACT_SECONDS", "ReadScheduler"],
        "_records": [
            "Route",
            "RouteTable",
            "Server",
            "Service",
            "Update",
            "ZoneState",
            "handle_of",
        ],
        "_relays": ["UpdateRelays"],
        "_server_health": ["ServerHealth", "UnansweredPacket"],
        "_server_speeds": ["ServerSpeeds"],
        "_slow_start": ["SlowStart"],
        "_speed_exchange": ["SpeedExchange"],
        "_source": ["AfterPage", "Source", "SourceError"],
        "_zone_reach": ["ZoneReach"],
        "_zone_spill": ["ZoneSpill"],
    },
)
