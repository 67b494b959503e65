/** Directory of the VMs of plain services, which are those without a model engine, from the last VM list read. */
import type { VmEntry } from "../../domain/platform.js";
import type { Location } from "../../domain/topology.js";

/** A VM that runs a plain service. */
export interface ServiceInstance {
    readonly id: string;
    /** Base URL with an IP address as its host. */
    readonly address: string;
    readonly location: Location;
}

export class ServiceDirectory {
    private services: ReadonlyMap<string, readonly ServiceInstance[]> = new Map();

    /** Replaces the directory by the live service VMs of the list, so that leaving VMs get no new calls. */
    applyList(entries: readonly VmEntry[]): void {
        const services = new Map<string, ServiceInstance[]>();
        for (const entry of entries) {
            if (entry.kind === "service" && entry.state === "live") {
                const vms = services.get(entry.className) ?? [];
                vms.push(toServiceInstance(entry));
                services.set(entry.className, vms);
            }
        }
        this.services = services;
    }

    /** Returns the VMs of the service to which new calls may be sent. */
    instancesOf(service: string): readonly ServiceInstance[] {
        return this.services.get(service) ?? [];
    }

    /** Returns the IDs of all VMs of the service that the VM runs, including its own; undefined if it runs none. */
    poolOf(vm: string): readonly string[] | undefined {
        for (const vms of this.services.values()) {
            if (vms.some(each => each.id === vm)) {
                return vms.map(each => each.id);
            }
        }
        return undefined;
    }
}

function toServiceInstance(entry: VmEntry): ServiceInstance {
    const { id, address, region, availabilityZone } = entry;
    return { id, address, location: { region, availabilityZone } };
}
