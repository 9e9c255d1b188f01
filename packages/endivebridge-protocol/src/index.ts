export {
    type ForwardRequest,
    ForwardRequestSchema,
    type ForwardResponse,
    ForwardResponseSchema,
    type HeartbeatRequest,
    HeartbeatRequestSchema,
    type HeartbeatResponse,
    HeartbeatResponseSchema,
    PeerService
} from "./generated/peer_pb";
