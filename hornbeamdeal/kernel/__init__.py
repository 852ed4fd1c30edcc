"""Events, actions, data types and interfaces shared by all components."""

from hornbeamdeal._lazy import attach

__getattr__, __dir__, __all__ = attach(
    __name__,
    {
        "_actions": [
            "AcknowledgeRequest",
            "ApplyHostList",
            "CancelDispatchedRequest",
            "DispatchRequest",
            "DropPacket",
            "ForwardPacket",
            "PutInForce",
            "ReadPlatform",
            "RelayPacket",
            "RelayRequest",
            "ReplyToCaller",
        ],
        "_base": ["Clock", "Component", "ManualClock", "SystemClock"],
        "_endpoint": ["Endpoint"],
        "_entry_host": ["EntryHost", "HostState", "Version"],
        "_errors": ["HornbeamdealError", "ParameterError", "UnknownPluginError"],
        "_events": [
            "CancelReceived",
            "HostListApplied",
            "PacketReceived",
            "PlatformReadCompleted",
            "RequestReceived",
            "ServerAnswerReceived",
        ],
        "_host_actions": [
            "BroadcastPause",
            "IncrementCounter",
            "LogEvent",
            "RebuildView",
            "SendPeerMessage",
        ],
        "_host_events": [
            "PauseDetected",
            "PeerMessageReceived",
            "StopRequested",
            "VersionInForce",
        ],
        "_registry": ["create_plugin", "plugin_names", "register_plugin"],
        "_validation": ["Between", "OneOf", "validate_parameters"],
        "_values": [
            "AddressKind",
            "Answer",
            "AnswerStatus",
            "BackendServer",
            "ClusterView",
            "DispatchOutcome",
            "FlowPacket",
            "Request",
            "ServerAnswer",
            "ServerState",
            "Service",
            "ServiceAddress",
            "WorkClass",
        ],
    },
)
