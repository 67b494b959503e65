/** Starts, queries and stops child processes over Node's IPC channel. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** Starts a module in a child process and waits for its first message. */
export async function startChild<Ready>(
    file: URL,
    childArguments: readonly string[],
): Promise<{ child: ChildProcess; ready: Ready; }> {
    const child = fork(file, childArguments);
    const [ready] = await once(child, "message") as [Ready];
    return { child, ready };
}

/** Sends an empty message and waits for the reply. */
export async function queryChild<Reply>(child: ChildProcess): Promise<Reply> {
    child.send({});
    const [reply] = await once(child, "message") as [Reply];
    return reply;
}

/** Closes the IPC channel, which makes the child exit. */
export function stopChild(child: ChildProcess): void {
    child.disconnect();
}
