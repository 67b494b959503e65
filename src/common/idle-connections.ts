/** Idle kept connections of an HTTP agent. */
import type { Agent } from "node:http";

/**
 * Closes the agent's idle connections. A connection that has failed says something of the others: all open connections to
 * a server may go silent at the same moment, while new ones work.
 */
export function closeIdleConnections(agent: Agent): void {
    Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []).forEach(socket => socket.destroy());
}
