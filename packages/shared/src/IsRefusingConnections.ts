import { connect } from "node:net";

/** Timeout of a connection attempt that only checks whether the port is open. */
const portCheckTimeoutMillis = 250;

/** Whether the address refuses connections, which shows that the process has ended. */
export function isRefusingConnections(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (refused: boolean) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(refused);
        };
        const timer = setTimeout(() => finish(false), portCheckTimeoutMillis);
        socket.on("connect", () => finish(false));
        socket.on("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"));
    });
}
