import { Schema } from "effect";

const Common = {
    instance: Schema.String,
    failureDomain: Schema.String,
    region: Schema.String,
    state: Schema.Literals(["live", "leaving"])
};

const EntryInstance = Schema.Struct({
    ...Common,
    kind: Schema.Literal("entry"),
    /** `host:port` for callers, as reachable from the failure domain of the reader. */
    callerAddress: Schema.String,
    /** `host:port` for other entry instances, as reachable from the failure domain of the reader. */
    peerAddress: Schema.String
});

const BackendServer = Schema.Struct({
    ...Common,
    kind: Schema.Literal("backend"),
    service: Schema.String,
    address: Schema.String,
    slots: Schema.Int
});

/** Schema of the platform's instance list, which names entry instances and backend servers. */
export const ListedInstances = Schema.Array(Schema.Union([EntryInstance, BackendServer]));

/** An entry instance in the instance list, with its addresses for callers and for peers. */
export type ListedEntryInstance = typeof EntryInstance.Type;

/** A backend server in the instance list, with its service and its slot count. */
export type ListedBackendServer = typeof BackendServer.Type;

/** Any entry of the instance list; `kind` tells entry instances and backend servers apart. */
export type ListedInstance = ListedEntryInstance | ListedBackendServer;
