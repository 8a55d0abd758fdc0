"""A chat, a stream and a batch through the public OpenAI client for Python.

    pip install openai
    jayhollow dev &
    python examples/openai_client.py http://127.0.0.1:8080 dev-key
"""

import json
import sys
import time

import openai

MODEL = "demo-model"
PATIENCE_SECONDS = 60


def main(url: str, key: str) -> None:
    client = openai.OpenAI(base_url=f"{url}/v1", api_key=key)
    print("models:", [model.id for model in client.models.list()])

    messages = [{"role": "user", "content": "a cover note for a parcel"}]
    answer = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=8)
    whole = answer.choices[0].message.content
    print("chat:  ", whole)

    stream = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=8, stream=True
    )
    streamed = "".join(event.choices[0].delta.content or "" for event in stream)
    print("stream:", streamed)
    assert streamed == whole

    lines = [
        json.dumps(
            {
                "custom_id": f"letter-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {"model": MODEL, "messages": messages, "max_tokens": 8},
            }
        )
        for number in range(30)
    ]
    file = client.files.create(
        file=("letters.jsonl", "\n".join(lines).encode()), purpose="batch"
    )
    batch = client.batches.create(
        input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    deadline = time.monotonic() + PATIENCE_SECONDS
    while batch.status != "completed":
        assert time.monotonic() < deadline, batch
        time.sleep(0.2)
        batch = client.batches.retrieve(batch.id)
    content = client.files.content(batch.output_file_id).text
    names = [json.loads(line)["custom_id"] for line in content.splitlines()]
    assert sorted(names) == sorted(f"letter-{number}" for number in range(30))
    print("batch: ", batch.status, batch.request_counts, len(names), "results")
    print("listed:", [listed.id for listed in client.batches.list(limit=2)][:1] == [batch.id])

    try:
        openai.OpenAI(base_url=f"{url}/v1", api_key="wrong").models.list()
    except openai.AuthenticationError as error:
        print("wrong key:", error.status_code)


if __name__ == "__main__":
    main(*sys.argv[1:])
