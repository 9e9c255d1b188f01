import { Schema } from "effect";

/** `host:port` with a port that can be connected to. */
const Address = Schema.String.check(Schema.makeFilter(text => {
    const separator = text.lastIndexOf(":");
    const port = text.slice(separator + 1);
    return /^[\w.-]+$/.test(text.slice(0, separator)) && /^\d{1,5}$/.test(port) && Number(port) >= 1
        && Number(port) <= 65_535;
}));

/** Far above what a machine serves at a time; a larger number is a mistake. */
const maxSlots = 100_000;

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
    callerAddress: Address,
    /** `host:port` for other entry instances, as reachable from the failure domain of the reader. */
    peerAddress: Address
});

const BackendServer = Schema.Struct({
    ...Common,
    kind: Schema.Literal("backend"),
    service: Schema.String,
    address: Address,
    slots: Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: maxSlots }))
});

/** Schema of an entry of the platform's instance list, which names entry instances and backend servers. */
export const ListedInstance = Schema.Union([EntryInstance, BackendServer]);

/** An entry instance in the instance list, with its addresses for callers and for peers. */
export type ListedEntryInstance = typeof EntryInstance.Type;

/** A backend server in the instance list, with its service and its slot count. */
export type ListedBackendServer = typeof BackendServer.Type;

/** Any entry of the instance list; `kind` tells entry instances and backend servers apart. */
export type ListedInstance = typeof ListedInstance.Type;
