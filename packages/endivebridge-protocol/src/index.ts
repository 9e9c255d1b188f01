export {
    type ForwardRequest,
    ForwardRequestSchema,
    type ForwardResponse,
    ForwardResponseSchema,
    type HeartbeatRequest,
    HeartbeatRequestSchema,
    type HeartbeatResponse,
    HeartbeatResponseSchema,
    PeerService,
    type ServiceLoad,
    type StruckRequest,
    type StruckRequestSchema
} from "./generated/peer_pb";
