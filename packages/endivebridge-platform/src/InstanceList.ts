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
    /** `host:port` for callers, as reached from the reader's failure domain. */
    callerAddress: Schema.String,
    /** `host:port` for other entry instances, as reached from the reader's failure domain. */
    peerAddress: Schema.String
});

const BackendServer = Schema.Struct({
    ...Common,
    kind: Schema.Literal("backend"),
    service: Schema.String,
    address: Schema.String,
    slots: Schema.Int
});

/** Schema of the platform's instance list. */
export const ListedInstances = Schema.Array(Schema.Union([EntryInstance, BackendServer]));

/** One listed entry instance. */
export type ListedEntryInstance = typeof EntryInstance.Type;

/** One listed backend server. */
export type ListedBackendServer = typeof BackendServer.Type;

/** One line of the instance list. */
export type ListedInstance = ListedEntryInstance | ListedBackendServer;
