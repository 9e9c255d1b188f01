import { connect } from "node:net";

/** Outcome of a connection attempt: accepted, refused by the address, or neither within the time. */
export type ConnectOutcome = "open" | "refused" | "failed";

/** Opens a connection and closes it at once. */
export function tryConnect(host: string, port: number, timeoutMillis: number): Promise<ConnectOutcome> {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (outcome: ConnectOutcome) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(outcome);
        };
        const timer = setTimeout(() => finish("failed"), timeoutMillis);
        socket.on("connect", () => finish("open"));
        socket.on(
            "error",
            (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? "refused" : "failed")
        );
    });
}

/** Timeout of a connection attempt that only checks whether the port is open. */
const portCheckTimeoutMillis = 250;

/** Whether the address refuses connections, which shows that the process has ended. */
export async function isRefusingConnections(host: string, port: number): Promise<boolean> {
    return await tryConnect(host, port, portCheckTimeoutMillis) === "refused";
}
