# Writes the files of the demonstration: the topology for tg-caller and
# tg-endpoint, the bundle, and the settings of each host. Sourced by run.sh, which
# sets base, seed, hosts, domains, faults and operator_key.

# Addresses and ports. Hosts use the same ports, each on its own address.
return_address="127.0.0.1:$base"
endpoints_control="127.0.0.1:$((base + 7))"
platform_address="127.0.0.1:$((base + 8))"
# With --faults, this host never reaches the platform: its settings name an
# address without a listener.
host_without_platform=mu-4
unused_address="127.0.0.1:$((base + 9))"
caller_dump="127.0.0.1:$((base + 9))"
callers_port=$((base + 1))
endpoints_port=$((base + 2))
packets_port=$((base + 3))
probe_port=$((base + 4))
control_port=$((base + 5))
admin_port=$((base + 6))

# Services: name, number, protocol, address, number of endpoints, class,
# request protocol. Two have IPv4 and two have IPv6 addresses.
services=(
  "alerts 1 udp 10.96.0.1:5683 14 urgent coap"
  "bulletins 2 udp [fd00:96::2]:5683 4 normal coap"
  "alerts-stream 3 tcp 10.96.0.1:7000 14 urgent -"
  "bulletins-stream 4 tcp [fd00:96::2]:7000 4 normal -"
)

host_address() { # NUMBER
  echo "127.0.10.$1"
}

admin_address() { # NUMBER
  echo "$(host_address "$1"):$admin_port"
}

endpoint_address() { # SERVICE_NUMBER ENDPOINT_NUMBER
  echo "127.0.2$1.$2:$((base + 9))"
}

endpoint_domain() { # ENDPOINT_NUMBER
  echo "${domains[$((($1 - 1) % ${#domains[@]}))]}"
}

host_domain() { # NUMBER
  endpoint_domain "$1"
}

write_topology() { # FILE
  local i j name number protocol address count class requests
  {
    echo "control = \"$endpoints_control\""
    echo "return = \"$return_address\""
    for i in "${!hosts[@]}"; do
      cat <<END

[[host]]
name = "${hosts[$i]}"
callers = "$(host_address $((i + 1))):$callers_port"
endpoints = "$(host_address $((i + 1))):$endpoints_port"
admin = "$(admin_address $((i + 1)))"
END
    done
    for i in "${services[@]}"; do
      read -r name number protocol address count class requests <<<"$i"
      cat <<END

[[service]]
name = "$name"
protocol = "$protocol"
address = "$address"
END
      for ((j = 1; j <= count; j++)); do
        cat <<END
[[service.endpoint]]
name = "$name-$j"
domain = "$(endpoint_domain "$j")"
address = "$(endpoint_address "$number" "$j")"
END
      done
    done
  } >"$1"
}

write_bundle() { # FILE VERSION WEIGHT_OF_ALERTS_5
  local i j name number protocol address count class requests weight
  {
    cat <<END
version = $2
hash_seed = $seed
domains = [$(printf '"%s", ' "${domains[@]}" | sed 's/, $//')]

[limits]
control_bytes_per_second = 4000
flows_per_host = 400000
flow_idle = "5m"
END
    for i in "${services[@]}"; do
      read -r name number protocol address count class requests <<<"$i"
      cat <<END

[[service]]
id = $number
name = "$name"
protocol = "$protocol"
address = "$address"
group = "mauritius"
class = "$class"
dial = "steady"
END
      if [ "$requests" != - ]; then
        echo "requests = \"$requests\""
        echo 'default_deadline = "5s"'
        echo 'max_deadline = "30s"'
      fi
      for ((j = 1; j <= count; j++)); do
        weight=1
        if [ "$name-$j" = alerts-5 ]; then weight=$3; fi
        cat <<END
[[service.endpoint]]
id = $j
name = "$name-$j"
domain = "$(endpoint_domain "$j")"
address = "$(endpoint_address "$number" "$j")"
weight = $weight
slots = 2
max_flows = 2000
END
      done
    done
  } >"$1"
}

write_settings() { # FILE NUMBER
  local address peers i
  address=$(host_address "$2")
  local platform=$platform_address
  if $faults && [ "${hosts[$(($2 - 1))]}" = $host_without_platform ]; then platform=$unused_address; fi
  peers=
  for i in "${!hosts[@]}"; do
    if [ $((i + 1)) -ne "$2" ]; then
      peers="$peers\"$(host_address $((i + 1))):$probe_port\", "
    fi
  done
  cat >"$1" <<END
name = "${hosts[$(($2 - 1))]}"
domain = "$(host_domain "$2")"
group = "mauritius"
peers = [${peers%, }]

[listen]
callers = "$address:$callers_port"
endpoints = "$address:$endpoints_port"
packets = "$address:$packets_port"
probe = "$address:$probe_port"
control = "$address:$control_port"
admin = "$address:$admin_port"

[fabric]
return = "$return_address"

[platform]
addresses = ["$platform"]
prefix = "/demo/"
timeout = "1s"

[bundle]
required = 1

[bundle.operators]
demo = "$operator_key"

[limits]
traffic = 2
flows = 100000
END
}
