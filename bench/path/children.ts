/** Child processes of a benchmark that answer with messages. */
import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** Starts a module in a process of its own and waits for its first message. */
export async function startChild<Ready>(
    file: URL,
    childArguments: readonly string[],
): Promise<{ child: ChildProcess; ready: Ready; }> {
    const child = fork(file, childArguments);
    const [ready] = await once(child, "message") as [Ready];
    return { child, ready };
}

/** Sends an empty question and waits for the answer. */
export async function askChild<Answer>(child: ChildProcess): Promise<Answer> {
    child.send({});
    const [answer] = await once(child, "message") as [Answer];
    return answer;
}

/** Lets a child end itself. */
export function stopChild(child: ChildProcess): void {
    child.disconnect();
}
